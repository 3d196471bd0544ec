package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.Problems;

/** Sends responses that this instance generates. */
final class LocalResponses {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private LocalResponses() {}

  /**
   * Sends a problem document, or closes the connection if that cannot be built; {@code status} may
   * be less specific than the problem's own code.
   */
  static void sendProblem(
      CallProtocol protocol,
      String attemptId,
      CallerResponse caller,
      int status,
      MagnoliavaleException problem) {
    HttpFields headers;
    ByteBuffer body;
    try {
      headers = headers(protocol.localResponseHeaders(attemptId), problem);
      body = ByteBuffer.wrap(Problems.body(problem));
    } catch (RuntimeException | Error e) {
      caller.abort();
      throw e;
    }
    caller.respond(status, headers, body);
  }

  private static HttpFields headers(HttpFields local, MagnoliavaleException problem) {
    HttpFields.Mutable headers =
        HttpFields.build(local).put("Content-Type", "application/problem+json");
    problem.retryAfter().ifPresent(delay -> headers.put("Retry-After", seconds(delay)));
    return headers;
  }

  private static String seconds(Duration delay) {
    return Double.toString(delay.toMillis() / MILLISECONDS_PER_SECOND);
  }
}
