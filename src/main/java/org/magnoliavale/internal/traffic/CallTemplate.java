package org.magnoliavale.internal.traffic;

import org.eclipse.jetty.http.HttpFields;

/**
 * The parts of a call that are the same in each attempt.
 *
 * @param method HTTP method
 * @param path path and query at the endpoint
 * @param headers headers to pass on
 * @param body the body, possibly empty
 * @param streamed whether the answer is a stream of events
 */
public record CallTemplate(
    String method, String path, HttpFields headers, byte[] body, boolean streamed) {}
