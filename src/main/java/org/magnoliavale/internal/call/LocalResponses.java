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

  /** Sends a problem document; {@code status} may be less specific than the problem's own code. */
  static void sendProblem(
      CallProtocol protocol,
      String attemptId,
      CallerResponse caller,
      int status,
      MagnoliavaleException problem) {
    HttpFields.Mutable headers =
        HttpFields.build(protocol.localResponseHeaders(attemptId))
            .put("Content-Type", "application/problem+json");
    problem.retryAfter().ifPresent(delay -> headers.put("Retry-After", seconds(delay)));
    caller.respond(status, headers, ByteBuffer.wrap(Problems.body(problem)));
  }

  private static String seconds(Duration delay) {
    return Double.toString(delay.toMillis() / MILLISECONDS_PER_SECOND);
  }
}
