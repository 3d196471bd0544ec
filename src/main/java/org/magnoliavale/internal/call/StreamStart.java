package org.magnoliavale.internal.call;

import java.util.Optional;
import java.util.function.Consumer;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.dispatch.AttemptOutcome;

/**
 * Where a call's stream begins or goes on. Guarded by its call.
 *
 * <p>A stream that is taken up goes on only at the version that began it. The caller of one that
 * begins gets the first event only once it is recorded at which version that is, if that needs a
 * record.
 */
final class StreamStart {
  private enum State {
    FREE,
    PENDING,
    RECORDED,
    FAILED
  }

  private static final String NOT_RECORDED = "its software version could not be recorded";

  private final Call call;
  private final ResponseProgress progress;
  private boolean findingOrigin;
  private State state = State.FREE;
  private Optional<Consumer<Boolean>> heldEvent = Optional.empty();

  StreamStart(Call call, ResponseProgress progress) {
    this.call = call;
    this.progress = progress;
  }

  /** Looks for the version that began the stream; the call then goes on there, or is rejected. */
  void findOrigin() {
    findingOrigin = true;
    call.context()
        .origins()
        .find(
            call.plan().service(),
            call.plan().metadata().resumedAttemptId(),
            origin -> runLocked(() -> found(origin)));
  }

  /** Returns whether the version that began the stream is not known yet. */
  boolean isFindingOrigin() {
    return findingOrigin;
  }

  /** Drops what is still to be done, because the call has ended. */
  void stop() {
    findingOrigin = false;
    heldEvent = Optional.empty();
  }

  private void found(StreamOrigin origin) {
    if (!findingOrigin) {
      return;
    }
    findingOrigin = false;
    new CallLog(call.plan()).originFound(origin);
    switch (origin) {
      case StreamOrigin.Known(SoftwareVersion version) -> goOnAt(version);
      case StreamOrigin.Gone ignored -> rejectGone();
      case StreamOrigin.Unknown(String reason) ->
          call.giveUp(ErrorCode.STREAM_ORIGIN_UNKNOWN, reason, call.now());
      case StreamOrigin.Unavailable(String reason) ->
          call.giveUp(ErrorCode.PLATFORM_UNAVAILABLE, reason, call.now());
    }
  }

  private void goOnAt(SoftwareVersion version) {
    if (call.context().endpoints().hasVersion(call.plan().service(), version)) {
      progress.bind(version);
      call.enter(call.now());
    } else {
      rejectGone();
    }
  }

  private void rejectGone() {
    call.giveUp(ErrorCode.STREAM_VERSION_GONE, "the version that began it has left", call.now());
  }

  /** Notes that an attempt is sent to a version, at which the stream may begin. */
  void sentTo(SoftwareVersion version) {
    CallPlan plan = call.plan();
    if (!plan.route().isResumableStream() || progress.version().isPresent()) {
      return;
    }
    StreamOrigins.Recording recording =
        call.context()
            .origins()
            .begin(
                plan.service(),
                plan.attemptId(),
                version,
                plan.route().timeout(),
                written -> runLocked(() -> recorded(written)));
    if (recording == StreamOrigins.Recording.PENDING) {
      // Also if the record fails: it may still be written later.
      progress.bind(version);
      state = state == State.FREE ? State.PENDING : state;
    }
  }

  private void runLocked(Runnable step) {
    CallSteps.runContained(
        call,
        locked -> {
          synchronized (locked) {
            step.run();
          }
        });
  }

  /** Records whether the record is kept. */
  private void recorded(boolean written) {
    state = written ? State.RECORDED : State.FAILED;
    Optional<Consumer<Boolean>> held = heldEvent;
    heldEvent = Optional.empty();
    held.ifPresent(event -> event.accept(written));
  }

  /** Ends the call because it isn't certain where its stream would begin. */
  void endUnrecorded(Attempt source) {
    source.cancel(AttemptOutcome.INCONCLUSIVE, call.now());
    call.failedAttempts().recordPossibleExecution(source, NOT_RECORDED, call.now());
    call.failOrAbort(ErrorCode.UPSTREAM_FAILED, NOT_RECORDED);
  }

  /**
   * Runs a step with the first event as soon as it is certain whether the caller may get it.
   *
   * @param event is told whether the caller may get it
   */
  void whenCertain(Consumer<Boolean> event) {
    if (state == State.PENDING) {
      heldEvent = Optional.of(event);
    } else {
      event.accept(state != State.FAILED);
    }
  }
}
