package org.magnoliavale.internal.call;

import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.directory.DirectoryEntry;

/**
 * A request to an endpoint, as it is sent.
 *
 * @param endpoint the endpoint
 * @param method HTTP method
 * @param pathQuery path and query, unchanged from the caller's request
 * @param headers all headers
 * @param body the whole body
 * @param connection the connection that it is sent on
 */
public record OutgoingRequest(
    DirectoryEntry endpoint,
    String method,
    String pathQuery,
    HttpFields headers,
    byte[] body,
    ConnectionUse connection) {}
