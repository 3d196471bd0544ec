package org.magnoliavale.internal.call;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.queue.Blockage;
import org.magnoliavale.internal.queue.WaitForecast;
import org.magnoliavale.internal.queue.WaitingCall;

/**
 * The wait of one call for an endpoint: its place in the queue, and how long it may last. Guarded
 * by its call.
 *
 * <p>A call that waits for room at endpoints stays as long as it is expected to be answered while
 * its caller waits. Of one that waits for a load, nothing is known, and it stays for a fixed part
 * of that time.
 */
final class CallWait {
  /** Time between two looks at how long a call still waits. */
  private static final long FORECAST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private static final String TOO_LONG = "no endpoint available in time";
  private static final String HOPELESS = "no endpoint can answer in time";

  private final Call call;
  private final CallPlan plan;
  private final CallContext context;
  private final CallLog log;
  private final ArtifactWait artifactWait;
  private Optional<WaitingCall> entry = Optional.empty();
  private boolean forRoom;
  private RetryAfterDelay retryAfterDelay = RetryAfterDelay.FULL;
  private Optional<WaitForecast> forecast = Optional.empty();
  private long enteredNanos;
  private long forecastNanos;

  /** When there is expected to be room for this call, which others of its queue may not need. */
  private long roomNanos;

  /** Arrival, or the last failed attempt that may have been executed. */
  private long startNanos;

  CallWait(Call call) {
    this.call = call;
    this.plan = call.plan();
    this.context = call.context();
    this.log = new CallLog(plan);
    this.artifactWait = new ArtifactWait(context.artifactDemand());
    this.startNanos = plan.request().arrivedNanos();
  }

  /** Starts the time anew that the wait may last. */
  void restart(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Returns whether the call is in the queue, and so is told when it may be sent. */
  boolean isQueued() {
    return entry.isPresent();
  }

  /** Returns whether other calls go first that wait for room. */
  boolean isBehindOthers(long nowNanos) {
    return context.queue().size() > 0 && context.queue().isBehindOthers(entry(nowNanos), nowNanos);
  }

  /** Waits behind others for room. */
  void behindOthers(long nowNanos) {
    enter(nowNanos);
    waitForRoom(nowNanos);
  }

  /** Waits for room at an endpoint, which is expected after a time. */
  void forRoom(Duration timeToRoom, long nowNanos) {
    artifactWait.stop();
    enter(nowNanos);
    roomNanos = nowNanos + timeToRoom.toNanos();
    block(new Blockage.NoRoom(roomNanos), nowNanos);
    waitForRoom(nowNanos);
  }

  /** Waits until an endpoint has loaded what the call needs. */
  void forArtifact(Artifact artifact, long nowNanos) {
    if (artifactWait.start(artifact)) {
      log.waitingForArtifact(artifact);
    }
    enter(nowNanos);
    block(new Blockage.NotLoaded(OptionalLong.empty()), nowNanos);
    forRoom = false;
  }

  private void enter(long nowNanos) {
    if (entry.isEmpty()) {
      WaitingCall added = entry(nowNanos);
      entry = Optional.of(added);
      enteredNanos = nowNanos;
      roomNanos = nowNanos;
      context.queue().enter(call, added, nowNanos);
    }
  }

  private WaitingCall entry(long nowNanos) {
    return plan.waitingCall(
        context.queue().nextNumber(),
        call.progress().hasStarted(),
        call.progress().version(),
        nowNanos);
  }

  private void block(Blockage blockage, long nowNanos) {
    context.queue().block(entry.orElseThrow().queue(), blockage, nowNanos);
  }

  private void waitForRoom(long nowNanos) {
    if (!forRoom) {
      forRoom = true;
      forecastNanos = nowNanos;
      WaitingCall waiting = entry.orElseThrow();
      context
          .queue()
          .forecast(waiting, nowNanos)
          .ifPresent(
              known -> context.queue().log().queued(plan.attemptId(), waiting, known, nowNanos));
    }
  }

  /** Ends the wait, because the call is sent. */
  void sent(long nowNanos) {
    boolean waitedForRoom = forRoom;
    leave(true, nowNanos);
    if (waitedForRoom) {
      Duration waited = Duration.ofNanos(nowNanos - enteredNanos);
      context.metrics().waited().update(waited);
      context.queue().log().dequeued(plan.attemptId(), waited, context.queue().size(), nowNanos);
    }
  }

  /** Ends the wait, or that for an event, because the call does not wait for one. */
  void stop(long nowNanos) {
    leave(false, nowNanos);
  }

  private void leave(boolean sent, long nowNanos) {
    artifactWait.stop();
    forRoom = false;
    entry.ifPresent(left -> context.queue().leave(left, sent, nowNanos));
    entry = Optional.empty();
  }

  /**
   * Returns why the call is to be given up, if it is.
   *
   * @param executed whether the call may have been executed, so that it can't be sent by its caller
   *     again without harm; it then stays while there is any hope
   */
  Optional<String> reasonToGiveUp(boolean executed, long nowNanos) {
    if (!forRoom) {
      boolean tooLong = nowNanos - startNanos > plan.maximumWaitNanos();
      if (tooLong && artifactWait.isWaiting()) {
        retryAfterDelay = RetryAfterDelay.LOAD;
      }
      return tooLong ? Optional.of(TOO_LONG) : Optional.empty();
    }
    long remainingNanos = entry.orElseThrow().limitNanos() - nowNanos;
    if (remainingNanos <= 0) {
      return Optional.of(TOO_LONG);
    }
    return executed || !isHopeless(remainingNanos, nowNanos)
        ? Optional.empty()
        : Optional.of(HOPELESS);
  }

  private boolean isHopeless(long remainingNanos, long nowNanos) {
    if (nowNanos - forecastNanos < 0) {
      return false;
    }
    forecastNanos = nowNanos + FORECAST_INTERVAL_NANOS;
    Optional<WaitForecast> known =
        context
            .queue()
            .forecast(entry.orElseThrow(), nowNanos)
            .map(forQueue -> forQueue.atLeast(Duration.ofNanos(roomNanos - nowNanos)));
    boolean hopeless = known.isPresent() && known.get().timeToStart().toNanos() > remainingNanos;
    if (hopeless) {
      forecast = known;
      retryAfterDelay = RetryAfterDelay.whenRoom(known.get().timeToStart());
      context.metrics().rejectedByForecast().inc();
    }
    return hopeless;
  }

  /** Notes when endpoints may take the call that take none now. */
  void tellTimeToNext(Duration time) {
    retryAfterDelay = RetryAfterDelay.atLeast(time);
  }

  /** Returns the rejection of the call, with what is known of when its caller may come back. */
  Rejection rejection(ErrorCode code, String reason, int refusals, long nowNanos) {
    Duration delay = retryAfterDelay.of(plan.attemptId(), plan.timeRemaining(nowNanos));
    return new Rejection(code, reason, refusals, delay, forecast);
  }
}
