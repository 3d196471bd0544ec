package org.magnoliavale.internal.call;

import org.eclipse.jetty.http.HttpFields;

/**
 * A call as it came in.
 *
 * @param method HTTP method
 * @param authority host that the caller named
 * @param path path without the query
 * @param pathQuery path and query as the caller wrote them
 * @param headers all headers
 * @param body the whole body
 * @param arrivedNanos when its head arrived
 */
public record CallRequest(
    String method,
    String authority,
    String path,
    String pathQuery,
    HttpFields headers,
    byte[] body,
    long arrivedNanos) {}
