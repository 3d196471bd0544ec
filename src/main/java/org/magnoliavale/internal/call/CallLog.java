package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.queue.WaitForecast;

/**
 * Logs each decision about one call, with the values that it was based on.
 *
 * @param plan the call
 */
record CallLog(CallPlan plan) {
  private static final Logger LOG = Logs.of("call");

  /** Most characters of a caller's reference to another attempt that are logged. */
  private static final int MAXIMUM_LOGGED_ID = 64;

  void sent(EndpointChoice.Selected choice, int attempt, Duration timeRemaining) {
    LOG.infof(
        "Sent. request=%s route=%s endpoint=%s software=%s artifact=%s load=%.0f report-age-ms=%d"
            + " directory-age-ms=%d configuration=%d attempt=%d left-ms=%d first-event-ms=%.0f"
            + " unread-tokens=%.0f time-factor=%.2f",
        plan.attemptId(),
        plan.route().name(),
        choice.endpoint().identity(),
        choice.endpoint().softwareVersion(),
        plan.artifactText(),
        choice.forecast().requests(),
        choice.forecast().reportAgeMs(),
        choice.directoryAgeMs(),
        plan.configurationVersion(),
        attempt,
        timeRemaining.toMillis(),
        choice.forecast().firstEventMs(),
        choice.forecast().unreadTokens(),
        choice.forecast().timeFactor());
  }

  void passedToPeer(EndpointIdentity peer, Duration timeRemaining) {
    LOG.infof(
        "Passed to a peer. request=%s route=%s peer=%s left-ms=%d",
        plan.attemptId(), plan.route().name(), peer, timeRemaining.toMillis());
  }

  /** Returns the message about an unexpected exception, which is logged at a bounded rate. */
  String failedUnexpectedly(String step) {
    return "Call failed unexpectedly. request=" + plan.attemptId() + " step=" + step;
  }

  void originFound(StreamOrigin origin) {
    LOG.infof(
        "Stream taken up. request=%s begun-by=%s after-event=%s origin=%s",
        plan.attemptId(),
        shortened(plan.metadata().resumedAttemptId()),
        text(plan.metadata().lastEventId()),
        origin);
  }

  private static String shortened(String id) {
    return id.length() <= MAXIMUM_LOGGED_ID ? id : id.substring(0, MAXIMUM_LOGGED_ID);
  }

  void waitingForArtifact(Artifact artifact) {
    LOG.infof("Waiting for artifact. request=%s artifact=%s", plan.attemptId(), artifact);
  }

  void retrying(
      EndpointIdentity endpoint, String reason, RetryAllowance retries, Optional<Long> lastEvent) {
    LOG.infof(
        "Retrying. request=%s endpoint=%s reason=%s runs=%d refusals=%d after-event=%s",
        plan.attemptId(),
        endpoint,
        reason,
        retries.possibleExecutions(),
        retries.refusals(),
        text(lastEvent));
  }

  void attemptEnded(EndpointIdentity endpoint, AttemptEnd end) {
    LOG.infof(
        "Attempt ended. request=%s endpoint=%s status=%d framing=%s request-sent=%s connection=%s"
            + " failure=%s",
        plan.attemptId(),
        endpoint,
        end.status(),
        end.framing().name().toLowerCase(Locale.ROOT),
        end.requestSent(),
        end.connection(),
        end.failure().isEmpty() ? "-" : end.failure());
  }

  void keptOneOfTwo(EndpointIdentity kept, EndpointIdentity cancelled) {
    LOG.infof(
        "Kept one of two attempts. request=%s kept=%s cancelled=%s",
        plan.attemptId(), kept, cancelled);
  }

  void goingOnAtOtherEndpoint(EndpointIdentity ended, String reason) {
    LOG.infof(
        "Going on at the other endpoint. request=%s ended=%s reason=%s",
        plan.attemptId(), ended, reason);
  }

  void callerDisconnected(int possibleExecutions, boolean responseStarted) {
    LOG.infof(
        "Caller disconnected. request=%s attempts=%d begun=%s",
        plan.attemptId(), possibleExecutions, responseStarted);
  }

  void answered(int status, int bytes) {
    LOG.infof("Answered. request=%s status=%d bytes=%d", plan.attemptId(), status, bytes);
  }

  void streamEnded(Optional<Long> lastEvent) {
    LOG.infof("Stream ended. request=%s last-event=%s", plan.attemptId(), text(lastEvent));
  }

  void rejected(Rejection rejection, long nowNanos) {
    LOG.infof(
        "Rejected. request=%s route=%s reason=%s refusals=%d age-ms=%d retry-after-ms=%d%s",
        plan.attemptId(),
        plan.route().name(),
        rejection.reason(),
        rejection.refusals(),
        ageMs(nowNanos),
        rejection.delay().toMillis(),
        rejection.forecast().map(CallLog::text).orElse(""));
  }

  void failed(String reason, int possibleExecutions, String lastFailure) {
    LOG.infof(
        "Failed. request=%s route=%s reason=%s runs=%d last=%s",
        plan.attemptId(), plan.route().name(), reason, possibleExecutions, lastFailure);
  }

  void responseAborted(String reason, String lastFailure, Optional<Long> lastEvent, long nowNanos) {
    LOG.infof(
        "Response aborted. request=%s route=%s reason=%s last=%s last-event=%s age-ms=%d"
            + " left-ms=%d",
        plan.attemptId(),
        plan.route().name(),
        reason,
        lastFailure,
        text(lastEvent),
        ageMs(nowNanos),
        plan.timeRemaining(nowNanos).toMillis());
  }

  void unfinished(Optional<EndpointIdentity> endpoint, ResponseProgress progress, long nowNanos) {
    LOG.infof(
        "Unfinished at the end of the stop. request=%s route=%s endpoint=%s begun=%s"
            + " last-event=%s age-ms=%d left-ms=%d",
        plan.attemptId(),
        plan.route().name(),
        text(endpoint),
        progress.hasStarted(),
        text(progress.lastEvent()),
        ageMs(nowNanos),
        plan.timeRemaining(nowNanos).toMillis());
  }

  private long ageMs(long nowNanos) {
    return Duration.ofNanos(nowNanos - plan.request().arrivedNanos()).toMillis();
  }

  private static String text(WaitForecast forecast) {
    return " predicted-ms=%d ahead=%d queue-length=%d"
        .formatted(forecast.timeToStart().toMillis(), forecast.ahead(), forecast.length());
  }

  private static String text(Optional<?> value) {
    return value.map(Object::toString).orElse("-");
  }
}
