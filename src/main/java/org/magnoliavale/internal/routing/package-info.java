/**
 * Selects the endpoint for each attempt of a request.
 *
 * <p>{@link org.magnoliavale.internal.routing.Router} applies a {@link
 * org.magnoliavale.internal.routing.RoutingPolicy} to an immutable {@link
 * org.magnoliavale.internal.routing.RoutingSnapshot}, which {@link
 * org.magnoliavale.internal.routing.SnapshotBuilder} builds on the control thread from the document
 * and the resident artifacts. {@link org.magnoliavale.internal.routing.EndpointLoad} is the only
 * state that changes between snapshots; it is shared by all threads.
 *
 * <p>The package starts no threads, performs no I/O and reads no clock.
 */
package org.magnoliavale.internal.routing;
