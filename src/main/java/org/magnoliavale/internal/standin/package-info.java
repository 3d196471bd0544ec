/**
 * Simulations of external systems, with fault injection, for demos and tests only.
 *
 * <p>{@link org.magnoliavale.internal.standin.EngineStandIn} simulates a model engine, {@link
 * org.magnoliavale.internal.standin.ServiceStandIn} a server of a plain service, and {@link
 * org.magnoliavale.internal.standin.PlatformStandIn} the platform. Each runs an HTTP server with
 * the threads of that server. An engine stand-in adds one thread for its batches, one that
 * publishes its reports, and one for each load, delayed command or crash; the platform stand-in
 * adds one that probes the listed instances.
 */
package org.magnoliavale.internal.standin;
