package org.magnoliavale.internal.traffic;

import java.io.IOException;
import java.util.Optional;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.settings.EngineSettings;

/**
 * Forwards idempotent requests to endpoints. Thread-safe.
 *
 * @param sender sends the attempts
 * @param settings size limits and timeouts
 * @param endpointSelector selects the endpoint of each attempt
 * @param budget limits the retries of all requests together
 * @param guard rejects requests that crash endpoints
 */
public record Forwarder(
    AttemptSender sender,
    EngineSettings settings,
    EndpointSelector endpointSelector,
    RetryBudget budget,
    CrashGuard guard) {
  /** Returns the attempts of a request; none is sent yet. */
  RetrySequence newSequence(RequestContext context, Target target, RequestTemplate template) {
    return new RetrySequence(this, context, target, template);
  }

  /**
   * Sends attempts until one returns a complete response.
   *
   * @throws org.magnoliavale.MagnoliavaleException if no further attempt can be made
   */
  BufferedResponse forward(RequestContext context, Target target, RequestTemplate template) {
    RetrySequence attempts = newSequence(context, target, template);
    while (true) {
      ActiveAttempt attempt = attempts.nextAttempt(Optional.empty());
      Optional<BufferedResponse> response = complete(attempts, attempt, target);
      if (response.isPresent()) {
        return response.get();
      }
    }
  }

  /** Reads the whole response of an attempt and ends it; empty if the response is incomplete. */
  Optional<BufferedResponse> complete(
      RetrySequence attempts, ActiveAttempt attempt, Target target) {
    try {
      BufferedResponse response = readResponse(attempt, target);
      attempts.succeeded(attempt);
      return Optional.of(response);
    } catch (IOException e) {
      attempts.failed(
          attempt,
          "incomplete response: " + e.getMessage(),
          ConnectionFailures.isConnectionLost(e));
      return Optional.empty();
    }
  }

  private BufferedResponse readResponse(ActiveAttempt attempt, Target target) throws IOException {
    byte[] body = attempt.response().readFully(settings.maximumResponseBytes());
    if (target instanceof Target.OfModel) {
      // Rejects a truncated body that the engine terminated as if it were complete.
      if (Json.tree(body).isMissingNode()) {
        throw new IOException("response has no body");
      }
    }
    String type = attempt.response().contentType().orElse("application/octet-stream");
    return new BufferedResponse(attempt.response().status(), type, body);
  }
}
