package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.util.Optional;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.settings.EngineSettings;

/**
 * Forwards idempotent requests to endpoints. Thread-safe.
 *
 * @param client sends the attempts
 * @param settings size limits and timeouts
 * @param routing selects the endpoint of each attempt
 * @param budget limits the retries of all requests together
 * @param guard rejects requests that crash endpoints
 */
public record Forwarder(
    AttemptSender client,
    EngineSettings settings,
    Routing routing,
    RetryBudget budget,
    CrashGuard guard) {
  /** Returns the attempts of a request; none is sent yet. */
  AttemptSeries begin(RequestContext context, Target target, CallTemplate template) {
    return new AttemptSeries(this, context, target, template);
  }

  /**
   * Sends attempts until one returns a complete response.
   *
   * @throws org.magnoliavale.MagnoliavaleException if no further attempt can be made
   */
  WholeAnswer whole(RequestContext context, Target target, CallTemplate template) {
    AttemptSeries series = begin(context, target, template);
    while (true) {
      OpenedAttempt opened = series.next(Optional.empty());
      try {
        WholeAnswer answer = read(opened, target);
        series.succeeded(opened);
        return answer;
      } catch (IOException e) {
        series.failed(
            opened, "incomplete response: " + e.getMessage(), Failures.isConnectionLost(e));
      }
    }
  }

  private WholeAnswer read(OpenedAttempt opened, Target target) throws IOException {
    byte[] body = opened.answer().readWhole(settings.maximumAnswerBytes());
    if (target instanceof Target.OfModel) {
      // Rejects a truncated body that the engine terminated as if it were complete.
      Json.tree(body);
    }
    String type = opened.answer().contentType().orElse("application/octet-stream");
    return new WholeAnswer(opened.answer().status(), type, body);
  }
}
