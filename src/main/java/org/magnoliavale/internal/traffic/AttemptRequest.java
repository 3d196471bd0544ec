package org.magnoliavale.internal.traffic;

import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.document.Endpoint;

/**
 * One attempt at an endpoint.
 *
 * @param attemptId unique id that the answer must carry back
 * @param endpoint where it goes
 * @param method HTTP method
 * @param path path and query
 * @param headers headers besides the attempt's id
 * @param body the body, possibly empty
 * @param firstByteTimeout longest wait for the start of the answer
 * @param progressTimeout longest silence of the connection
 * @param total longest time for the whole attempt
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
    Duration total) {}
