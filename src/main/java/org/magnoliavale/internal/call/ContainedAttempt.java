package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;

/**
 * Passes events on to an attempt. An exception ends the attempt, or its call if no other attempt is
 * in progress; the sender of the event, which would only log it, does not see it.
 *
 * @param call the call of the attempt
 * @param attempt the receiver of the events
 */
record ContainedAttempt(Call call, Attempt attempt) implements AttemptListener {
  @Override
  public void onResponseHead(int status, HttpFields headers) {
    contain("response head", () -> attempt.onResponseHead(status, headers));
  }

  @Override
  public void onContent(ByteBuffer bytes, Runnable demand) {
    contain("response content", () -> attempt.onContent(bytes, demand));
  }

  @Override
  public void onEnd(AttemptEnd end) {
    contain("attempt end", () -> attempt.onEnd(end));
  }

  @Override
  public void onCompleted() {
    contain("response end", attempt::onCompleted);
  }

  @Override
  public void onFailed(AttemptFailure failure, String reason) {
    contain("attempt failure", () -> attempt.onFailed(failure, reason));
  }

  /** Returns a step of the attempt that passes on no exception. */
  Runnable step(String step, Runnable event) {
    return () -> contain(step, event);
  }

  /** Closes the connection of the attempt; the attempt has ended, whatever comes of this. */
  void close(EndpointConnector.Handle handle) {
    call.context().metrics().failures().contain("Attempt could not be cancelled.", handle::cancel);
  }

  private void contain(String step, Runnable event) {
    try {
      event.run();
    } catch (RuntimeException | Error e) {
      call.failedUnexpectedly(e, step, Optional.of(attempt));
    }
    if (!Thread.holdsLock(call)) {
      // Within a step of its call, whoever runs that step goes on with the waiting calls.
      call.context().sendWaitingCalls();
    }
  }
}
