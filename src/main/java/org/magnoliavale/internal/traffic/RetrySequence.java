package org.magnoliavale.internal.traffic;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.routing.EndpointLoad;
import org.magnoliavale.internal.routing.RouteDecision;
import org.magnoliavale.internal.settings.EngineSettings;

/**
 * Sends one idempotent request to an endpoint and retries it on other endpoints when an attempt
 * fails.
 *
 * <p>The number of retries is bounded by the request's deadline, the maximum number of attempts and
 * the retry budget of the instance. Attempts of which no byte was sent do not count towards the
 * maximum. A request that was in flight in too many endpoint crashes is not sent again.
 *
 * <p>Every attempt returned by {@code nextAttempt} must be completed by exactly one call of {@code
 * failed}, {@code succeeded} or {@code abandoned} before the next one is requested. Not
 * thread-safe: one thread handles one request and blocks in {@code nextAttempt}.
 */
final class RetrySequence {
  private static final int MAXIMUM_ATTEMPTS = 4;
  private static final int FAILURES_UNTIL_EJECTION = 3;
  private static final long EJECTION_NANOS = Duration.ofSeconds(2).toNanos();
  private static final long UNREACHABLE_NANOS = Duration.ofMillis(500).toNanos();
  private static final long ENDPOINT_POLL_INTERVAL_MS = 20;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final AttemptSender sender;
  private final EngineSettings settings;
  private final EndpointSelector endpointSelector;
  private final RetryBudget budget;
  private final CrashGuard guard;
  private final Fingerprint fingerprint;
  private final RequestContext context;
  private final Target target;
  private final RequestTemplate template;
  private final Set<EndpointId> failedEndpoints = new HashSet<>();
  private int attempts;
  private String lastFailure = "";
  private boolean trackedAsSuspect;
  private String endpointIncarnation = "";

  RetrySequence(
      Forwarder forwarder, RequestContext context, Target target, RequestTemplate template) {
    this.sender = forwarder.sender();
    this.settings = forwarder.settings();
    this.endpointSelector = forwarder.endpointSelector();
    this.budget = forwarder.budget();
    this.guard = forwarder.guard();
    this.fingerprint = Fingerprint.of(template.path(), template.body());
    this.context = context;
    this.target = target;
    this.template = template;
    budget.deposit();
  }

  /**
   * Sends attempts until one returns response headers with a status that is not retryable.
   *
   * @param resumeAfter id of the last event received, or empty to start from the beginning
   * @throws MagnoliavaleException if no further attempt can be made
   */
  ActiveAttempt nextAttempt(Optional<String> resumeAfter) {
    while (true) {
      checkAttemptAllowed();
      RouteDecision decision = awaitDecision();
      Optional<ActiveAttempt> attempt = sendAttempt(decision, resumeAfter);
      if (attempt.isPresent()) {
        return attempt.get();
      }
    }
  }

  /**
   * Records that an attempt failed after its response headers had arrived. The next attempt avoids
   * its endpoint.
   *
   * @param connectionLost whether the endpoint closed or reset the connection
   */
  void failed(ActiveAttempt attempt, String reason, boolean connectionLost) {
    attempt.response().abandon(reason);
    endAttempt(attempt.decision());
    recordFailure(attempt.decision(), attempt.attemptId(), reason, connectionLost);
  }

  /** Records that an attempt's response was received completely. */
  void succeeded(ActiveAttempt attempt) {
    endAttempt(attempt.decision());
    attempt.decision().candidate().load().succeeded();
    guard.answered(fingerprint);
  }

  /** Cancels an attempt because the caller has disconnected. */
  void abandoned(ActiveAttempt attempt) {
    attempt.response().abandon("caller disconnected");
    endAttempt(attempt.decision());
  }

  private void endAttempt(RouteDecision decision) {
    decision.candidate().load().end();
    if (trackedAsSuspect) {
      guard.end(fingerprint, decision.candidate().endpoint().id());
      trackedAsSuspect = false;
    }
  }

  private void checkAttemptAllowed() {
    if (context.remainingMs(System.nanoTime()) <= 0) {
      throw MagnoliavaleException.of(
          ErrorCode.DEADLINE_EXCEEDED, "deadline exceeded after " + attempts + " attempts");
    }
    guard.checkNotBlocked(fingerprint);
    // Attempts of which no byte was sent put no load on an endpoint and are not counted.
    boolean first = attempts == 0;
    if (!first && (attempts >= MAXIMUM_ATTEMPTS || !budget.trySpend())) {
      throw upstreamFailure();
    }
  }

  private MagnoliavaleException upstreamFailure() {
    return MagnoliavaleException.of(
            ErrorCode.UPSTREAM_FAILED,
            "no endpoint returned a response; last failure: " + lastFailure)
        .withRetryAfter(RETRY_AFTER);
  }

  /** Waits until an endpoint can serve the request, at most until the deadline. */
  private RouteDecision awaitDecision() {
    while (true) {
      long now = System.nanoTime();
      Set<EndpointId> excludedEndpoints = new HashSet<>(failedEndpoints);
      excludedEndpoints.addAll(guard.excludedEndpoints(fingerprint));
      Optional<RouteDecision> decision = endpointSelector.select(target, excludedEndpoints, now);
      if (decision.isPresent()) {
        return decision.get();
      }
      // Endpoints that failed before may be retried, rather than failing the request.
      failedEndpoints.clear();
      if (context.remainingMs(now) <= ENDPOINT_POLL_INTERVAL_MS) {
        throw MagnoliavaleException.of(
                ErrorCode.MODEL_UNAVAILABLE, "no available endpoint serves " + target)
            .withRetryAfter(RETRY_AFTER);
      }
      sleepPollInterval();
    }
  }

  private static void sleepPollInterval() {
    try {
      Thread.sleep(ENDPOINT_POLL_INTERVAL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw MagnoliavaleException.of(ErrorCode.STOPPING, "interrupted");
    }
  }

  private Optional<ActiveAttempt> sendAttempt(
      RouteDecision decision, Optional<String> resumeAfter) {
    String attemptId = UUID.randomUUID().toString();
    endpointSelector.logDecision(context, attemptId, target, decision);
    EndpointLoad load = decision.candidate().load();
    load.begin();
    trackedAsSuspect = guard.begin(fingerprint, decision.candidate().endpoint().id());
    // Read before sending: when the connection is lost, the load may already hold the report of
    // the endpoint's next incarnation.
    endpointIncarnation = load.incarnation();
    AttemptResult result = sender.send(attemptRequest(attemptId, decision, resumeAfter));
    boolean connectionLost =
        result instanceof AttemptResult.Failed(String ignored, boolean connectionClosed)
            && connectionClosed;
    String failure =
        switch (result) {
          case AttemptResult.Responded(EndpointResponse response) -> {
            if (!isRetryable(response.status())) {
              yield null;
            }
            response.abandon("retrying on another endpoint");
            yield "status " + response.status();
          }
          case AttemptResult.NotSent(String reason) -> "not sent: " + reason;
          case AttemptResult.Failed(String reason, boolean ignored) -> reason;
        };
    if (result instanceof AttemptResult.NotSent) {
      load.markUnreachable(System.nanoTime() + UNREACHABLE_NANOS);
    } else {
      attempts++;
    }
    if (failure == null) {
      EndpointResponse response = ((AttemptResult.Responded) result).response();
      return Optional.of(new ActiveAttempt(attemptId, decision, response));
    }
    endAttempt(decision);
    recordFailure(decision, attemptId, failure, connectionLost);
    return Optional.empty();
  }

  private boolean isRetryable(int status) {
    boolean notResident = status == HttpStatus.NOT_FOUND_404 && target instanceof Target.OfModel;
    return status >= HttpStatus.INTERNAL_SERVER_ERROR_500
        || status == HttpStatus.TOO_MANY_REQUESTS_429
        || notResident;
  }

  private void recordFailure(
      RouteDecision decision, String attemptId, String reason, boolean connectionLost) {
    lastFailure = reason;
    failedEndpoints.add(decision.candidate().endpoint().id());
    EndpointLoad load = decision.candidate().load();
    if (connectionLost) {
      guard.connectionLost(fingerprint, decision.candidate().endpoint(), endpointIncarnation);
    }
    if (load.failed() >= FAILURES_UNTIL_EJECTION) {
      load.eject(System.nanoTime() + EJECTION_NANOS);
    }
    endpointSelector.logFailure(context, attemptId, reason);
  }

  private AttemptRequest attemptRequest(
      String attemptId, RouteDecision decision, Optional<String> resumeAfter) {
    Duration remaining = Duration.ofMillis(Math.max(1, context.remainingMs(System.nanoTime())));
    Duration firstByteTimeout = minimum(remaining, settings.firstByteTimeout());
    Duration idleTimeout = template.streamed() ? settings.progressTimeout() : firstByteTimeout;
    Endpoint endpoint = decision.candidate().endpoint();
    HttpFields.Mutable headers = HttpFields.build(template.headers());
    headers.put(HeaderNames.PRIORITY, Integer.toString(context.priority()));
    headers.put(HeaderNames.REQUEST_ID, context.requestId());
    if (context.traceParent() != null) {
      headers.put(HeaderNames.TRACE_PARENT, context.traceParent());
    }
    if (target instanceof Target.OfModel(var name)) {
      headers.put(HeaderNames.ARTIFACT, name.artifact(decision.candidate().version()).toString());
    }
    resumeAfter.ifPresent(id -> headers.put(HeaderNames.LAST_EVENT_ID, id));
    return new AttemptRequest(
        attemptId,
        endpoint,
        template.method(),
        template.path(),
        headers,
        template.body(),
        template.streamed()
            ? minimum(firstByteTimeout, settings.progressTimeout())
            : firstByteTimeout,
        idleTimeout,
        remaining);
  }

  private static Duration minimum(Duration one, Duration other) {
    return one.compareTo(other) <= 0 ? one : other;
  }
}
