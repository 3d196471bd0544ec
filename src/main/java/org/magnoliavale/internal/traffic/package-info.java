/**
 * Forwards the HTTP requests of callers to endpoints, and returns the responses.
 *
 * <p>{@link org.magnoliavale.internal.traffic.CallerHandler} accepts requests on the caller port.
 * Idempotent requests go through {@link org.magnoliavale.internal.traffic.Forwarder}, which retries
 * failed attempts on other endpoints within the deadline and the {@link
 * org.magnoliavale.internal.traffic.RetryBudget}. Non-idempotent requests go through {@link
 * org.magnoliavale.internal.traffic.AtMostOnceForwarder}, which is implemented outside of this
 * package. {@link org.magnoliavale.internal.traffic.EndpointSelector} selects the endpoint of each
 * attempt, and {@link org.magnoliavale.internal.traffic.EndpointClient} sends it.
 *
 * <p>Each request is handled on the server thread that accepted it, which blocks while it waits for
 * an endpoint or a response. State that requests share is thread-safe; the state of a single
 * request is confined to its thread.
 *
 * <p>This package may do input and output, so the packages that make routing, placement and lease
 * decisions must not depend on it; it must not depend on the stand-ins.
 */
package org.magnoliavale.internal.traffic;
