package org.magnoliavale.internal.call;

import java.time.Duration;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.GenerationRequest;

/** What an attempt is sent to, and what is learnt of it from the attempt. Guarded by its call. */
sealed interface AttemptTarget {
  /** Parses status and headers of a response. */
  ResponseHead parse(int status, HttpFields headers);

  /** Records that data has come. */
  void recordActivity(long nowNanos);

  /** Records what a response head says of its sender. */
  void recordStatements(ResponseHead head, long sentNanos, long nowNanos);

  /** Records the first byte of an answer, which came some time after it was asked for. */
  void recordFirstByte(Duration time, long nowNanos);

  /** Records that no connection was accepted. */
  void recordUnreachable(long nowNanos);

  /** Records that the connection was lost before an answer had begun. */
  void recordLost(long nowNanos);

  /** Records why the request was not executed. */
  void recordNotExecuted(ResponseHead head, long nowNanos);

  /** Returns whether other attempts show that nothing comes from it. */
  boolean isSilent(long nowNanos);

  /** Returns whether it is a peer, which makes all attempts at endpoints that the call may have. */
  boolean isPeer();

  /** An endpoint. */
  record OfEndpoint(Call call, EndpointChoice.Selected choice) implements AttemptTarget {
    private CallContext context() {
      return call.context();
    }

    private EndpointPool pool() {
      return context().endpoints();
    }

    private EndpointIdentity identity() {
      return choice.endpoint().identity();
    }

    @Override
    public ResponseHead parse(int status, HttpFields headers) {
      return context().protocol().parseResponse(status, headers);
    }

    @Override
    public void recordActivity(long nowNanos) {
      pool().recordActivity(identity(), nowNanos);
      context().peers().heardEndpoint(nowNanos);
    }

    @Override
    public void recordStatements(ResponseHead head, long sentNanos, long nowNanos) {
      if (!head.otherIncarnation()) {
        context().statements().heard(identity(), head.statement(), sentNanos);
      }
    }

    @Override
    public void recordFirstByte(Duration time, long nowNanos) {
      pool().recordFirstByte(choice, nowNanos);
      context().metrics().firstByte().update(time);
    }

    @Override
    public void recordUnreachable(long nowNanos) {
      context().peers().connectFailed(identity(), nowNanos);
      if (!context().peers().isReachDoubtful()) {
        context().crashDetector().endpointDown(identity(), nowNanos);
      }
    }

    @Override
    public void recordLost(long nowNanos) {
      context()
          .crashDetector()
          .connectionLost(call.plan().crashKeys(), choice.endpoint(), nowNanos);
    }

    @Override
    public void recordNotExecuted(ResponseHead head, long nowNanos) {
      if (head.otherIncarnation()) {
        pool().markReplaced(identity());
        context().crashDetector().endpointDown(identity(), nowNanos);
      } else if (head.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
        call.plan()
            .metadata()
            .generation()
            .map(GenerationRequest::artifact)
            .ifPresent(artifact -> pool().recordMissing(identity(), artifact, nowNanos));
      }
    }

    @Override
    public boolean isSilent(long nowNanos) {
      return pool().isUnresponsive(identity(), nowNanos) || !pool().isAvailable(identity());
    }

    @Override
    public boolean isPeer() {
      return false;
    }
  }

  /** A peer that the call is passed to; nothing is learnt of endpoints. */
  record OfPeer(Call call) implements AttemptTarget {
    @Override
    public ResponseHead parse(int status, HttpFields headers) {
      return call.context().protocol().parseResponse(status, headers).throughPeer();
    }

    @Override
    public void recordActivity(long nowNanos) {}

    @Override
    public void recordStatements(ResponseHead head, long sentNanos, long nowNanos) {}

    @Override
    public void recordFirstByte(Duration time, long nowNanos) {
      call.context().metrics().firstByte().update(time);
    }

    @Override
    public void recordUnreachable(long nowNanos) {}

    @Override
    public void recordLost(long nowNanos) {}

    @Override
    public void recordNotExecuted(ResponseHead head, long nowNanos) {}

    @Override
    public boolean isSilent(long nowNanos) {
      return false;
    }

    @Override
    public boolean isPeer() {
      return true;
    }
  }
}
