/**
 * Keeps the limits that endpoints name: how many requests a second they take from all instances
 * together.
 *
 * <p>{@link org.magnoliavale.internal.limit.EndpointLimits} is the façade. Instances tell each
 * other in their heartbeats what endpoints have said and how much each of them would send; {@link
 * org.magnoliavale.internal.limit.LimitShare} parts a limit by that, so no instance asks another
 * before it sends a request.
 *
 * <p>It performs no I/O and reads no clock: times are parameters, in nanoseconds of a monotonic
 * clock.
 */
package org.magnoliavale.internal.limit;
