package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.util.Optional;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.settings.EngineSettings;

/**
 * Carries calls that may be repeated to endpoints.
 *
 * @param client sends the attempts
 * @param settings limits and timeouts
 * @param routing chooses endpoints
 * @param budget limits retries over all requests
 * @param guard stops requests that crash endpoints
 */
public record Forwarder(
    AttemptSender client,
    EngineSettings settings,
    Routing routing,
    RetryBudget budget,
    CrashGuard guard) {
  /** Starts the attempts of a request. */
  AttemptSeries begin(RequestContext context, Target target, CallTemplate template) {
    return new AttemptSeries(this, context, target, template);
  }

  /** Makes attempts until one brings a whole answer. */
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
            opened, "answer is not whole: " + e.getMessage(), Failures.isConnectionLost(e));
      }
    }
  }

  private WholeAnswer read(OpenedAttempt opened, Target target) throws IOException {
    byte[] body = opened.answer().readWhole(settings.maximumAnswerBytes());
    if (target instanceof Target.OfModel) {
      // An engine that ends a truncated body properly is found out here.
      Json.tree(body);
    }
    String type = opened.answer().contentType().orElse("application/octet-stream");
    return new WholeAnswer(opened.answer().status(), type, body);
  }
}
