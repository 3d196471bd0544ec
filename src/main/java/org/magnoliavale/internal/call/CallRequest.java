package org.magnoliavale.internal.call;

import org.eclipse.jetty.http.HttpFields;

/**
 * A caller's request.
 *
 * @param method HTTP method
 * @param authority host and optional port of the request
 * @param path path without the query
 * @param pathQuery path and query, unchanged
 * @param headers all headers
 * @param body the whole body
 * @param arrivedNanos monotonic time at which the request head arrived, in nanoseconds
 */
public record CallRequest(
    String method,
    String authority,
    String path,
    String pathQuery,
    HttpFields headers,
    byte[] body,
    long arrivedNanos) {
  /** Leaves headers and body out, which may contain secrets. */
  @Override
  public String toString() {
    return "CallRequest[" + method + " " + path + "]";
  }
}
