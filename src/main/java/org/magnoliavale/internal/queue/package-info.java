/**
 * The order in which calls that wait for an endpoint are served, and the prediction of how long
 * they wait.
 *
 * <p>{@link org.magnoliavale.internal.queue.WaitingCalls} is the façade. The package performs no
 * I/O and reads no clock: times are parameters, in nanoseconds of a monotonic clock. Nothing here
 * is thread-safe.
 */
package org.magnoliavale.internal.queue;
