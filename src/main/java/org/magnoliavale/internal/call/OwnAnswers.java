package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.Problems;

/** Sends responses that this instance generates. */
final class OwnAnswers {
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private OwnAnswers() {}

  /** Sends a problem document; {@code status} may be less specific than the problem's own code. */
  static void problem(
      CallProtocol protocol,
      String attemptId,
      CallerPort caller,
      int status,
      MagnoliavaleException problem) {
    HttpFields.Mutable headers =
        HttpFields.build(protocol.own(attemptId)).put("Content-Type", "application/problem+json");
    problem.retryAfter().ifPresent(delay -> headers.put("Retry-After", seconds(delay)));
    caller.answer(status, headers, ByteBuffer.wrap(Problems.body(problem)));
  }

  private static String seconds(Duration delay) {
    return Double.toString(delay.toMillis() / MILLISECONDS_PER_SECOND);
  }
}
