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
 * The attempts of one request that may be repeated: each on another endpoint, within the deadline,
 * and out of the retry budget.
 */
final class AttemptSeries {
  private static final int MAXIMUM_ATTEMPTS = 4;
  private static final int FAILURES_UNTIL_EJECTION = 3;
  private static final long EJECTION_NANOS = Duration.ofSeconds(2).toNanos();
  private static final long UNREACHABLE_NANOS = Duration.ofMillis(500).toNanos();
  private static final long RESIDENCY_POLL_MS = 20;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final AttemptSender client;
  private final EngineSettings settings;
  private final Routing routing;
  private final RetryBudget budget;
  private final CrashGuard guard;
  private final Fingerprint fingerprint;
  private final RequestContext context;
  private final Target target;
  private final CallTemplate template;
  private final Set<EndpointId> avoided = new HashSet<>();
  private int attempts;
  private String lastFailure = "";
  private boolean followedSuspect;
  private String sentToIncarnation = "";

  AttemptSeries(Forwarder forwarder, RequestContext context, Target target, CallTemplate template) {
    this.client = forwarder.client();
    this.settings = forwarder.settings();
    this.routing = forwarder.routing();
    this.budget = forwarder.budget();
    this.guard = forwarder.guard();
    this.fingerprint = Fingerprint.of(template.path(), template.body());
    this.context = context;
    this.target = target;
    this.template = template;
    budget.earn();
  }

  /**
   * Returns the next attempt whose answer has begun with a status that need not be repeated.
   *
   * @param resumeAfter id of the last event received, or empty to start from the beginning
   * @throws MagnoliavaleException when no further attempt can be made
   */
  OpenedAttempt next(Optional<String> resumeAfter) {
    while (true) {
      checkMayAttempt();
      RouteDecision decision = awaitDecision();
      Optional<OpenedAttempt> opened = attempt(decision, resumeAfter);
      if (opened.isPresent()) {
        return opened.get();
      }
    }
  }

  /**
   * Notes that an opened attempt went wrong later; the next attempt avoids its endpoint.
   *
   * @param connectionLost whether the endpoint closed or reset the connection
   */
  void failed(OpenedAttempt opened, String reason, boolean connectionLost) {
    opened.answer().abandon(reason);
    end(opened.decision());
    noteFailure(opened.decision(), opened.attemptId(), reason, connectionLost);
  }

  /** Notes that an opened attempt went right to its end. */
  void succeeded(OpenedAttempt opened) {
    end(opened.decision());
    opened.decision().candidate().load().succeeded();
    guard.answered(fingerprint);
  }

  /** Gives an opened attempt up because the caller has gone. */
  void abandoned(OpenedAttempt opened) {
    opened.answer().abandon("the caller has gone");
    end(opened.decision());
  }

  private void end(RouteDecision decision) {
    decision.candidate().load().end();
    if (followedSuspect) {
      guard.end(fingerprint, decision.candidate().endpoint().id());
      followedSuspect = false;
    }
  }

  private void checkMayAttempt() {
    if (context.leftMs(System.nanoTime()) <= 0) {
      throw MagnoliavaleException.of(
          ErrorCode.DEADLINE_EXCEEDED, "the deadline passed after " + attempts + " attempts");
    }
    guard.checkNotBlocked(fingerprint);
    // Only attempts of which something was sent count; the others put no load on anything.
    boolean first = attempts == 0;
    if (!first && (attempts >= MAXIMUM_ATTEMPTS || !budget.trySpend())) {
      throw upstreamFailed();
    }
  }

  private MagnoliavaleException upstreamFailed() {
    return MagnoliavaleException.of(
            ErrorCode.UPSTREAM_FAILED, "no endpoint answered; the last failure: " + lastFailure)
        .withRetryAfter(RETRY_AFTER);
  }

  /** Waits within the deadline for an endpoint that can serve the request. */
  private RouteDecision awaitDecision() {
    while (true) {
      long now = System.nanoTime();
      Set<EndpointId> closed = new HashSet<>(avoided);
      closed.addAll(guard.excludedEndpoints(fingerprint));
      Optional<RouteDecision> decision = routing.choose(target, closed, now);
      if (decision.isPresent()) {
        return decision.get();
      }
      // An endpoint that failed once is tried again rather than no endpoint at all.
      avoided.clear();
      if (context.leftMs(now) <= RESIDENCY_POLL_MS) {
        throw MagnoliavaleException.of(
                ErrorCode.MODEL_UNAVAILABLE, "no live endpoint holds " + target)
            .withRetryAfter(RETRY_AFTER);
      }
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(RESIDENCY_POLL_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw MagnoliavaleException.of(ErrorCode.STOPPING, "interrupted");
    }
  }

  private Optional<OpenedAttempt> attempt(RouteDecision decision, Optional<String> resumeAfter) {
    String attemptId = UUID.randomUUID().toString();
    routing.logDecision(context, attemptId, target, decision);
    EndpointLoad load = decision.candidate().load();
    load.begin();
    followedSuspect = guard.begin(fingerprint, decision.candidate().endpoint().id());
    // By the time the connection breaks, a report of the next incarnation may have been read.
    sentToIncarnation = load.incarnation();
    AttemptStart start = client.send(attemptRequest(attemptId, decision, resumeAfter));
    boolean connectionLost =
        start instanceof AttemptStart.Failed(String ignored, boolean lost) && lost;
    String failure =
        switch (start) {
          case AttemptStart.Opened(OpenAnswer answer) -> {
            if (!mustRepeat(answer.status())) {
              yield null;
            }
            answer.abandon("to be repeated elsewhere");
            yield "status " + answer.status();
          }
          case AttemptStart.NotSent(String reason) -> "not sent: " + reason;
          case AttemptStart.Failed(String reason, boolean ignored) -> reason;
        };
    if (start instanceof AttemptStart.NotSent) {
      load.markUnreachable(System.nanoTime() + UNREACHABLE_NANOS);
    } else {
      attempts++;
    }
    if (failure == null) {
      OpenAnswer answer = ((AttemptStart.Opened) start).answer();
      return Optional.of(new OpenedAttempt(attemptId, decision, answer));
    }
    end(decision);
    noteFailure(decision, attemptId, failure, connectionLost);
    return Optional.empty();
  }

  private boolean mustRepeat(int status) {
    boolean notResident = status == HttpStatus.NOT_FOUND_404 && target instanceof Target.OfModel;
    return status >= HttpStatus.INTERNAL_SERVER_ERROR_500
        || status == HttpStatus.TOO_MANY_REQUESTS_429
        || notResident;
  }

  private void noteFailure(
      RouteDecision decision, String attemptId, String reason, boolean connectionLost) {
    lastFailure = reason;
    avoided.add(decision.candidate().endpoint().id());
    EndpointLoad load = decision.candidate().load();
    if (connectionLost) {
      guard.connectionLost(fingerprint, decision.candidate().endpoint(), sentToIncarnation);
    }
    if (load.failed() >= FAILURES_UNTIL_EJECTION) {
      load.eject(System.nanoTime() + EJECTION_NANOS);
    }
    routing.logFailure(context, attemptId, reason);
  }

  private AttemptRequest attemptRequest(
      String attemptId, RouteDecision decision, Optional<String> resumeAfter) {
    Duration left = Duration.ofMillis(Math.max(1, context.leftMs(System.nanoTime())));
    Duration firstByte = shorter(left, settings.firstByteTimeout());
    Duration silence = template.streamed() ? settings.progressTimeout() : firstByte;
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
        template.streamed() ? shorter(firstByte, settings.progressTimeout()) : firstByte,
        silence,
        left);
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) <= 0 ? one : other;
  }
}
