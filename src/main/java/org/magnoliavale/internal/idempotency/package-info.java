/**
 * At-most-once execution of non-idempotent requests to plain services.
 *
 * <p>{@link org.magnoliavale.internal.idempotency.AtMostOnceExecutor} commits a claim row to the
 * platform's table before it sends a request, and ends with one of three outcomes: completed, not
 * run, or unknown. {@link org.magnoliavale.internal.idempotency.ClaimWriter} batches the writes of
 * claim rows on virtual threads of its own; claims that could not be released in time are released
 * on virtual threads in the background. The package accesses the table and the endpoints only
 * through the interfaces {@code Table} and {@code AttemptSender}; no package but {@code instance}
 * uses it.
 */
package org.magnoliavale.internal.idempotency;
