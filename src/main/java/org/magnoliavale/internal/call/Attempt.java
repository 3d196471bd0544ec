package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.AttemptOutcome;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.route.CallKind;

/**
 * One attempt to send a call to an endpoint. Guarded by the lock of its call.
 *
 * <p>Events of a successful stream are forwarded as they arrive. Any other response is buffered in
 * full, so that a truncated response never reaches the caller.
 */
final class Attempt implements AttemptListener {
  /**
   * Time without data within a resumable stream after which another endpoint is asked as well, if
   * this one is unresponsive, in milliseconds.
   */
  private static final long EVENT_SILENCE_TIMEOUT_MS = 1_200;

  private static final int NO_CONTENT = 204;
  private static final int MISDIRECTED = 421;

  private final Call call;
  private final ContainedAttempt contained;
  private final EndpointChoice.Selected choice;
  private final AttemptTarget target;
  private final long sentNanos;
  private final EventSplitter events;

  /** Whether the caller has got events of an earlier attempt, after which this one must go on. */
  private final boolean resumed;

  private final ResponseBody body;
  private EndpointConnector.Handle handle;
  private ResponseHead responseHead;
  private HttpFields responseHeaders;
  private boolean streaming;
  private boolean closed;
  private boolean writing;

  /** The end of the attempt, if it came while an event was being written to the caller. */
  private Runnable deferredEnd;

  private long lastActivityNanos;
  private long lastEventNanos;

  Attempt(
      Call call,
      EndpointChoice.Selected choice,
      AttemptTarget target,
      long sentNanos,
      Optional<Long> resumedAfter) {
    this.call = call;
    this.target = target;
    this.contained = new ContainedAttempt(call, this);
    this.choice = choice;
    this.sentNanos = sentNanos;
    this.lastActivityNanos = sentNanos;
    this.resumed = call.progress().hasStarted();
    this.body = new ResponseBody(call.context().responseMemory());
    this.events = new EventSplitter(resumed ? resumedAfter : Optional.empty());
  }

  DirectoryEntry endpoint() {
    return choice.endpoint();
  }

  EndpointIdentity identity() {
    return choice.endpoint().identity();
  }

  boolean isAtPeer() {
    return target.isPeer();
  }

  void send(OutgoingRequest request) {
    EndpointConnector.Handle sent = call.context().connector().send(request, contained);
    if (closed) {
      // The attempt failed before send returned; the connection of this handle is already closed.
      return;
    }
    handle = sent;
  }

  /** Closes the attempt and its connection. */
  void cancel(AttemptOutcome result, long nowNanos) {
    if (close(result, nowNanos) && handle != null) {
      contained.close(handle);
    }
  }

  /**
   * Sends the call to another endpoint as well if this one is silent, or if an idempotent call gets
   * no response head in time. Silence alone is no reason: with few attempts at an endpoint, a slow
   * one looks like one that has failed. And it never ends an attempt, since a sound endpoint may
   * pause and go on.
   */
  void tick(long nowNanos) {
    long limit = call.plan().silenceTimeoutNanos();
    if (limit == 0 || writing || target.isPeer()) {
      return;
    }
    long silence = nowNanos - lastActivityNanos;
    boolean noHead = responseHead == null && nowNanos - sentNanos > limit;
    boolean noEvent =
        streaming && silence > TimeUnit.MILLISECONDS.toNanos(EVENT_SILENCE_TIMEOUT_MS);
    if ((noHead || noEvent) && call.context().peers().areNeeded()) {
      call.peerPassing().passInsteadOf(this, nowNanos);
      return;
    }
    if ((noHead || noEvent) && target.isSilent(nowNanos)) {
      call.otherEndpoints().tryOther(this, "silent", nowNanos);
    } else if (noHead && call.plan().route().kind() == CallKind.IDEMPOTENT) {
      call.otherEndpoints().tryOther(this, "slow", nowNanos);
    }
  }

  @Override
  public void onResponseHead(int status, HttpFields headers) {
    synchronized (call) {
      if (closed) {
        return;
      }
      long now = call.now();
      lastActivityNanos = now;
      responseHead = target.parse(status, headers);
      responseHeaders = headers;
      target.recordActivity(now);
      responseHead
          .load()
          .ifPresent(load -> call.context().loadReported(choice.endpoint(), load, now));
      if (!responseHead.attemptId().equals(call.plan().attemptId())
          || responseHead.contentEncoded()) {
        cancel(AttemptOutcome.FAILED, now);
        retryOrFail("response belongs to another attempt or is encoded", now);
        return;
      }
      target.recordStatements(responseHead, sentNanos, now);
      if (responseHead.isSuccess() && !responseHead.signed()) {
        cancel(AttemptOutcome.FAILED, now);
        retryOrFail("response is not signed", now);
        return;
      }
      if (!responseHead.notExecuted()) {
        target.recordFirstByte(Duration.ofNanos(now - sentNanos), now);
      }
      streaming = responseHead.isSuccess() && call.plan().route().kind() == CallKind.STREAM;
      if (responseHead.isSuccess() && status != NO_CONTENT) {
        call.otherEndpoints().madeProgress(this, now);
      }
    }
  }

  @Override
  public void onContent(ByteBuffer bytes, Runnable demand) {
    synchronized (call) {
      if (closed) {
        return;
      }
      lastActivityNanos = call.now();
      target.recordActivity(lastActivityNanos);
      if (streaming) {
        if (bytes.hasRemaining()) {
          call.otherEndpoints().madeProgress(this, lastActivityNanos);
        }
        forwardEvents(bytes, demand);
        return;
      }
      if (!body.append(bytes)) {
        cancel(AttemptOutcome.FAILED, lastActivityNanos);
        retryOrFail("response is too large", lastActivityNanos);
        return;
      }
    }
    demand.run();
  }

  private void forwardEvents(ByteBuffer bytes, Runnable demand) {
    ByteBuffer completeEvents = events.append(bytes);
    if (events.isOversized()) {
      cancel(AttemptOutcome.FAILED, lastActivityNanos);
      retryOrFail("event is too large", lastActivityNanos);
      return;
    }
    if (resumed && events.isOutOfOrder()) {
      cancel(AttemptOutcome.FAILED, lastActivityNanos);
      retryOrFail("stream does not go on after the last event", lastActivityNanos);
      return;
    }
    if (!completeEvents.hasRemaining()) {
      demand.run();
      return;
    }
    call.context().endpoints().recordEvent(choice, lastActivityNanos);
    lastEventNanos = lastActivityNanos;
    writing = true;
    call.streamStart().whenCertain(certain -> write(completeEvents, certain, demand));
  }

  private void write(ByteBuffer completeEvents, boolean certain, Runnable demand) {
    if (closed) {
      return;
    }
    if (!certain) {
      call.streamStart().endUnrecorded(this);
      return;
    }
    beginResponseOnce();
    call.progress().eventForwarded(events.lastId());
    call.caller().write(completeEvents, contained.step("write", () -> writeCompleted(demand)));
  }

  private void beginResponseOnce() {
    if (call.progress().startOnce(endpoint().softwareVersion())) {
      HttpFields headers = call.context().protocol().responseHeaders(responseHeaders);
      call.caller().begin(responseHead.status(), headers);
    }
  }

  private void writeCompleted(Runnable demand) {
    synchronized (call) {
      writing = false;
      lastActivityNanos = call.now();
      if (closed) {
        return;
      }
      if (deferredEnd != null) {
        deferredEnd.run();
        return;
      }
    }
    demand.run();
  }

  @Override
  public void onEnd(AttemptEnd end) {
    synchronized (call) {
      if (!closed && end.isLogged()) {
        new CallLog(call.plan()).attemptEnded(identity(), end);
      }
    }
  }

  @Override
  public void onCompleted() {
    synchronized (call) {
      if (closed) {
        return;
      }
      end(() -> finish(call.now()));
    }
  }

  /** Ends the attempt as soon as no event is being written, since writes must not overlap. */
  private void end(Runnable action) {
    if (writing) {
      deferredEnd = action;
    } else {
      action.run();
    }
  }

  private void finish(long now) {
    if (responseHead == null) {
      failAfterSend("response without a head", now);
    } else if (responseHead.notExecuted()) {
      handleNotExecuted(now);
    } else if (streaming) {
      finishStream(now);
    } else {
      finishBuffered(now);
    }
  }

  private void finishStream(long now) {
    if (events.hasPartialEvent()) {
      failAfterSend("stream ended within an event", now);
      return;
    }
    if (lastEventNanos == 0 && !ResponseHead.isFramed(responseHeaders)) {
      failAfterSend("stream ended before its first event", now);
      return;
    }
    beginResponseOnce();
    close(AttemptOutcome.ANSWERED, now);
    call.context().crashDetector().answered(call.plan().crashKeys(), now);
    call.completion().completeStream(call.progress().lastEvent());
  }

  private void finishBuffered(long now) {
    if (body.size() == 0
        && responseHead.mayLackBody(responseHeaders, call.plan().request().method())) {
      failAfterSend("response ended before its body", now);
      return;
    }
    EndpointAnswer answer =
        new EndpointAnswer(
            responseHead.status(),
            call.context().protocol().responseHeaders(responseHeaders),
            body.takeAll());
    boolean error = responseHead.isServerError();
    boolean unprovenPromise = responseHead.tellsNotExecuted();
    close(error ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED, now);
    if (error && !unprovenPromise && body.isSmall()) {
      call.completion().keepError(answer);
    }
    if (error
        && call.failedAttempts().retryIfAllowed(this, "status " + responseHead.status(), now)) {
      return;
    }
    if (call.progress().hasStarted() || unprovenPromise) {
      endWithoutAnswer("endpoint answered with status " + responseHead.status(), now);
      return;
    }
    if (responseHead.isSuccess()) {
      call.context().crashDetector().answered(call.plan().crashKeys(), now);
    }
    call.completion().respond(answer);
  }

  private void endWithoutAnswer(String reason, long now) {
    if (responseHead.isServerError()) {
      call.failOrAbort(ErrorCode.UPSTREAM_FAILED, reason);
    } else {
      retryOrFail(reason, now);
    }
  }

  private void handleNotExecuted(long now) {
    close(
        responseHead.status() == MISDIRECTED
            ? AttemptOutcome.INCONCLUSIVE
            : AttemptOutcome.OVERLOADED,
        now);
    target.recordNotExecuted(responseHead, now);
    boolean excludeEndpoint =
        responseHead.otherIncarnation() || responseHead.status() != MISDIRECTED;
    call.failedAttempts()
        .attemptNotExecuted(
            this, "not executed, status " + responseHead.status(), excludeEndpoint, now);
  }

  @Override
  public void onFailed(AttemptFailure failure, String reason) {
    synchronized (call) {
      if (closed) {
        return;
      }
      end(() -> fail(failure, reason, call.now()));
    }
  }

  private void fail(AttemptFailure failure, String reason, long now) {
    if (responseHead != null && responseHead.notExecuted()) {
      handleNotExecuted(now);
    } else if (failure == AttemptFailure.NOT_SENT) {
      close(AttemptOutcome.UNREACHABLE, now);
      target.recordUnreachable(now);
      call.failedAttempts().attemptNotSent(this, reason, now);
    } else {
      failAfterSend(reason, now);
    }
  }

  private void failAfterSend(String reason, long now) {
    close(AttemptOutcome.FAILED, now);
    if (!call.progress().hasStarted()) {
      // A request whose answer had begun did not crash the endpoint that wrote it.
      target.recordLost(now);
    }
    retryOrFail(reason, now);
  }

  private void retryOrFail(String reason, long now) {
    if (!call.failedAttempts().retryIfAllowed(this, reason, now)) {
      call.failOrAbort(ErrorCode.UPSTREAM_FAILED, reason);
    }
  }

  private boolean close(AttemptOutcome result, long nowNanos) {
    if (closed) {
      return false;
    }
    closed = true;
    body.release();
    call.context().attemptEnded(choice, result, nowNanos);
    return true;
  }
}
