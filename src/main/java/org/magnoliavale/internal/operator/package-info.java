/**
 * The HTTP API on the operator port: the configuration document, status, metrics, routing decisions
 * and suspected requests.
 *
 * <p>{@link org.magnoliavale.internal.operator.OperatorHandler} dispatches the requests and runs on
 * the threads of the HTTP server; {@link org.magnoliavale.internal.operator.DocumentApi} implements
 * the document operations. The package starts no threads, and only the packages {@code instance}
 * and {@code command} use it.
 */
package org.magnoliavale.internal.operator;
