package org.magnoliavale.internal.traffic;

import org.eclipse.jetty.http.HttpFields;

/**
 * The parts of a request that are the same in every attempt.
 *
 * @param method HTTP method
 * @param path path and query sent to the endpoint
 * @param headers headers to forward
 * @param body request body, possibly empty
 * @param streamed whether the response is a stream of server-sent events
 */
public record RequestTemplate(
    String method, String path, HttpFields headers, byte[] body, boolean streamed) {}
