package org.magnoliavale.internal.call;

import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.directory.DirectoryEntry;

/**
 * What is sent to an endpoint.
 *
 * @param endpoint where it goes
 * @param method HTTP method
 * @param pathQuery path and query as the caller wrote them
 * @param headers all headers
 * @param body the whole body
 */
public record AttemptOrder(
    DirectoryEntry endpoint, String method, String pathQuery, HttpFields headers, byte[] body) {}
