/**
 * Selects an endpoint for each attempt, and limits retries.
 *
 * <p>{@link org.magnoliavale.internal.dispatch.EndpointPool} tracks the state of all endpoints and
 * selects one by expected delay; {@link org.magnoliavale.internal.dispatch.FleetRetryBudget} limits
 * retries. Both are thread-safe, and the package starts no threads.
 *
 * <p>It performs no I/O and reads no clock: times are parameters, and the list of endpoints comes
 * from {@link org.magnoliavale.internal.directory}.
 */
package org.magnoliavale.internal.dispatch;
