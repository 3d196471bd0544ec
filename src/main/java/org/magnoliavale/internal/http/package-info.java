/**
 * Shared HTTP code: creation of Jetty servers and clients, JSON calls, complete responses and
 * problem responses.
 *
 * <p>{@link org.magnoliavale.internal.http.HttpServers} and {@link
 * org.magnoliavale.internal.http.HttpClients} create servers and clients. {@link
 * org.magnoliavale.internal.http.BlockingHandler} is the base of handlers, {@link
 * org.magnoliavale.internal.http.Problems} formats errors, and {@link
 * org.magnoliavale.internal.http.JsonClient} makes JSON calls.
 *
 * <p>Handlers of the servers created here run on virtual threads and may block. JSON calls block
 * the calling thread. The decision packages, such as {@code routing}, {@code placement} and {@code
 * lease}, must not depend on this package.
 */
package org.magnoliavale.internal.http;
