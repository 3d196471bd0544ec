/**
 * The request path of a gateway instance: forwards callers' requests to endpoints and returns the
 * responses.
 *
 * <p>{@link org.magnoliavale.internal.call.CallRegistry} starts and tracks calls. Each call selects
 * an endpoint, sends one attempt at a time, retries where the route allows it, and resumes a
 * resumable stream at another endpoint. All calls of an instance share {@link
 * org.magnoliavale.internal.call.ArtifactDemand}, which counts the artifacts that are requested,
 * and {@link org.magnoliavale.internal.call.CrashDetector}, which attributes endpoint crashes to
 * requests.
 *
 * <p>The package starts no threads and reads time only through the clock that it is given. Events
 * arrive on the threads of the server, of the HTTP client, and of the loop that calls {@link
 * org.magnoliavale.internal.call.CallRegistry#tick}; each call is guarded by its own lock. Header
 * names and network access lie behind {@link org.magnoliavale.internal.call.CallProtocol}, {@link
 * org.magnoliavale.internal.call.CallerResponse} and {@link
 * org.magnoliavale.internal.call.EndpointConnector}, whose implementations are outside this
 * package; it must not depend on them.
 */
package org.magnoliavale.internal.call;
