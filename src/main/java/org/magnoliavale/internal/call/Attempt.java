package org.magnoliavale.internal.call;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.CallResult;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.Generation;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.CallKind;

/**
 * One attempt to send a call to an endpoint. Guarded by the lock of its call.
 *
 * <p>Events of a successful stream are forwarded as they arrive. Any other response is buffered in
 * full, so that a truncated response never reaches the caller.
 */
final class Attempt implements AttemptListener {
  private static final Logger LOG = Logs.of("call");

  /** Maximum size of a buffered response, in bytes. */
  private static final int MAXIMUM_ANSWER_BYTES = 16 << 20;

  /**
   * Pause within a resumable stream after which a silent endpoint is abandoned, in milliseconds.
   */
  private static final long EVENT_SILENCE_MS = 1_200;

  private static final int MISDIRECTED = 421;

  private final Call call;
  private final DirectoryEntry endpoint;
  private final long sentNanos;
  private final EventSplitter events = new EventSplitter();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private EndpointConnector.Handle handle;
  private AnswerFacts answer;
  private HttpFields answerHeaders;
  private boolean streaming;
  private boolean over;
  private boolean writing;
  private boolean completedWhileWriting;
  private long heardNanos;
  private long eventNanos;

  Attempt(Call call, DirectoryEntry endpoint, long sentNanos, Optional<Long> resumedAfter) {
    this.call = call;
    this.endpoint = endpoint;
    this.sentNanos = sentNanos;
    this.heardNanos = sentNanos;
  }

  DirectoryEntry endpoint() {
    return endpoint;
  }

  private EndpointIdentity identity() {
    return endpoint.identity();
  }

  private EndpointPool pool() {
    return call.services().endpoints();
  }

  void send(AttemptOrder order) {
    EndpointConnector.Handle sent = call.services().connector().send(order, this);
    if (over) {
      // The attempt failed before send returned; the connection of this handle is already closed.
      return;
    }
    handle = sent;
  }

  /** Closes the attempt and its connection. */
  void cancel(CallResult result, long nowNanos) {
    if (close(result, nowNanos) && handle != null) {
      handle.cancel();
    }
  }

  /**
   * Gives up the attempt if the call may be retried and the endpoint is silent, or if an idempotent
   * call gets no response head in time.
   */
  void tick(long nowNanos) {
    long limit = call.plan().silenceNanos();
    if (limit == 0 || writing) {
      return;
    }
    long silence = nowNanos - heardNanos;
    boolean noHead = answer == null && nowNanos - sentNanos > limit;
    boolean noEvent = streaming && silence > TimeUnit.MILLISECONDS.toNanos(EVENT_SILENCE_MS);
    boolean endpointSilent = pool().isSilent(identity(), nowNanos) || !pool().isListed(identity());
    if (noHead && endpointSilent || noEvent && endpointSilent) {
      leave("silent", nowNanos);
    } else if (noHead && call.plan().route().kind() == CallKind.SAFE) {
      leave("slow", nowNanos);
    }
  }

  private void leave(String reason, long nowNanos) {
    if (call.plan().route().attempts() < 2) {
      return;
    }
    cancel(CallResult.FAILED, nowNanos);
    mayHaveRun(reason, nowNanos);
  }

  @Override
  public void began(int status, HttpFields headers) {
    synchronized (call) {
      if (over) {
        return;
      }
      long now = call.now();
      heardNanos = now;
      answer = call.services().protocol().answer(status, headers);
      answerHeaders = headers;
      pool().heard(identity(), now);
      answer.load().ifPresent(load -> pool().reported(identity(), load, now));
      if (!answer.attemptId().equals(call.plan().id()) || answer.encoded()) {
        cancel(CallResult.FAILED, now);
        mayHaveRun("response belongs to another attempt", now);
        return;
      }
      if (answer.isSuccess() && !answer.signed()) {
        cancel(CallResult.FAILED, now);
        mayHaveRun("response is not signed", now);
        return;
      }
      if (!answer.notExecuted()) {
        pool().firstByte(identity(), now - sentNanos);
        call.services().metrics().firstByte().update(Duration.ofNanos(now - sentNanos));
      }
      streaming = answer.isSuccess() && call.plan().route().kind() == CallKind.STREAM;
    }
  }

  @Override
  public void content(ByteBuffer bytes, Runnable demand) {
    synchronized (call) {
      if (over) {
        return;
      }
      heardNanos = call.now();
      pool().heard(identity(), heardNanos);
      if (streaming) {
        passEvents(bytes, demand);
        return;
      }
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      body.writeBytes(copy);
      if (body.size() > MAXIMUM_ANSWER_BYTES) {
        cancel(CallResult.FAILED, heardNanos);
        mayHaveRun("response is too large", heardNanos);
        return;
      }
    }
    demand.run();
  }

  private void passEvents(ByteBuffer bytes, Runnable demand) {
    ByteBuffer whole = events.feed(bytes);
    if (events.isOversized()) {
      cancel(CallResult.FAILED, heardNanos);
      mayHaveRun("event is too large", heardNanos);
      return;
    }
    if (!whole.hasRemaining()) {
      demand.run();
      return;
    }
    noteEvents();
    if (call.beginOnce()) {
      call.caller().begin(answer.status(), call.services().protocol().returned(answerHeaders));
    }
    call.passedEvent(events.lastId());
    writing = true;
    call.caller().write(whole, () -> written(demand));
  }

  private void noteEvents() {
    if (eventNanos != 0) {
      double gapMs = (double) (heardNanos - eventNanos) / TimeUnit.MILLISECONDS.toNanos(1);
      pool().eventGap(identity(), gapMs, heardNanos);
    }
    eventNanos = heardNanos;
  }

  private void written(Runnable demand) {
    synchronized (call) {
      writing = false;
      heardNanos = call.now();
      if (over) {
        return;
      }
      if (completedWhileWriting) {
        finish(heardNanos);
        return;
      }
    }
    demand.run();
  }

  @Override
  public void completed() {
    synchronized (call) {
      if (over) {
        return;
      }
      if (writing) {
        completedWhileWriting = true;
        return;
      }
      finish(call.now());
    }
  }

  private void finish(long now) {
    if (answer == null) {
      lost("response without a head", now);
    } else if (answer.notExecuted()) {
      refused(now);
    } else if (streaming) {
      finishStream(now);
    } else {
      finishWhole(now);
    }
  }

  private void finishStream(long now) {
    if (events.hasPartialEvent()) {
      lost("stream ended within an event", now);
      return;
    }
    if (call.beginOnce()) {
      call.caller().begin(answer.status(), call.services().protocol().returned(answerHeaders));
    }
    close(CallResult.ANSWERED, now);
    call.services().containment().answered(call.plan().fingerprint());
    call.finish();
  }

  private void finishWhole(long now) {
    CallResult result = answer.isServerError() ? CallResult.FAILED : CallResult.ANSWERED;
    close(result, now);
    if (answer.isServerError() && mayRepeatFailure(now)) {
      return;
    }
    if (call.hasBegun()) {
      call.breakOff("endpoint answered with status " + answer.status());
      return;
    }
    if (answer.status() == ErrorCode.OVERLOADED.httpStatus()
        || answer.status() == ErrorCode.MODEL_UNAVAILABLE.httpStatus()) {
      // This status tells the caller that the call was not executed, which the endpoint has not
      // stated.
      call.fail(ErrorCode.UPSTREAM_FAILED, "endpoint answered with status " + answer.status());
      return;
    }
    if (answer.isSuccess()) {
      call.services().containment().answered(call.plan().fingerprint());
    }
    call.answer(
        answer.status(),
        call.services().protocol().returned(answerHeaders),
        ByteBuffer.wrap(body.toByteArray()));
  }

  private boolean mayRepeatFailure(long now) {
    return call.mayHaveRun(this, "status " + answer.status(), now);
  }

  private void refused(long now) {
    close(answer.status() == MISDIRECTED ? CallResult.ABANDONED : CallResult.FULL, now);
    if (answer.otherIncarnation()) {
      pool().replaced(identity());
      call.services().containment().down(identity(), now);
    } else if (answer.status() == MISDIRECTED) {
      call.plan()
          .facts()
          .generation()
          .map(Generation::artifact)
          .ifPresent(artifact -> pool().refute(identity(), artifact, now));
    }
    boolean elsewhere = answer.otherIncarnation() || answer.status() != MISDIRECTED;
    call.refused(this, "not executed, status " + answer.status(), elsewhere, now);
  }

  @Override
  public void failed(AttemptFailure failure, String reason) {
    synchronized (call) {
      if (over) {
        return;
      }
      long now = call.now();
      if (answer != null && answer.notExecuted()) {
        refused(now);
      } else if (failure == AttemptFailure.NOT_SENT) {
        close(CallResult.UNREACHABLE, now);
        call.services().containment().down(identity(), now);
        call.unreachable(this, reason, now);
      } else {
        lost(reason, now);
      }
    }
  }

  private void lost(String reason, long now) {
    close(CallResult.FAILED, now);
    call.services().containment().broke(call.plan().fingerprint(), identity(), now);
    mayHaveRun(reason, now);
  }

  private void mayHaveRun(String reason, long now) {
    if (call.mayHaveRun(this, reason, now)) {
      return;
    }
    LOG.debugf("Attempt failed. request=%s endpoint=%s", call.plan().id(), identity());
    if (call.hasBegun()) {
      call.breakOff(reason);
    } else {
      call.fail(ErrorCode.UPSTREAM_FAILED, reason);
    }
  }

  private boolean close(CallResult result, long nowNanos) {
    if (over) {
      return false;
    }
    over = true;
    pool().ended(identity(), result, nowNanos);
    return true;
  }
}
