package org.magnoliavale.internal.traffic;

import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.document.Endpoint;

/**
 * The parameters of one attempt to send a request to an endpoint.
 *
 * @param attemptId unique id that the endpoint must echo in its response
 * @param endpoint destination of the request
 * @param method HTTP method
 * @param path path and query
 * @param headers request headers, without the attempt id header
 * @param body request body, possibly empty
 * @param firstByteTimeout timeout for the response headers
 * @param progressTimeout idle timeout of the connection
 * @param totalTimeout timeout for the entire attempt
 */
public record AttemptRequest(
    String attemptId,
    Endpoint endpoint,
    String method,
    String path,
    HttpFields headers,
    byte[] body,
    Duration firstByteTimeout,
    Duration progressTimeout,
    Duration totalTimeout) {}
