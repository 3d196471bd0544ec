/**
 * Decides which endpoint holds which models and adapters, and sends the commands to load and unload
 * them.
 *
 * <p>{@link org.magnoliavale.internal.residency.ResidencyController} acts while its instance holds
 * the {@link org.magnoliavale.internal.residency.CommandLease}. It keeps an {@link
 * org.magnoliavale.internal.residency.EndpointTracker} per endpoint, and takes the next steps from
 * {@link org.magnoliavale.internal.residency.ResidencyPlanner}, a pure function. {@link
 * org.magnoliavale.internal.residency.FleetDemand} collects the demand of all instances, and {@link
 * org.magnoliavale.internal.residency.ResidencyChangeLog} the changes to publish to them.
 *
 * <p>The package starts no threads: the controller sends commands on the executor that it is given.
 * Classes are not thread-safe unless they say so. The package performs no network I/O itself, which
 * is behind {@link org.magnoliavale.internal.residency.EndpointControl}, and reads no clock: times
 * are parameters or come from a supplied clock.
 */
package org.magnoliavale.internal.residency;
