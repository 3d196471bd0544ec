package org.magnoliavale.internal.call;

import java.util.Optional;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.dispatch.AttemptOutcome;
import org.magnoliavale.internal.dispatch.EndpointChoice;

/** Passes one call to peers while no endpoint is reached from here. Guarded by its call. */
final class PeerPassing {
  private static final String NOTHING_REACHED = "no endpoint is reached";

  private final Call call;
  private final AttemptsInProgress attempts;
  private final EndpointSelection selection;
  private final RetryAllowance retries;

  PeerPassing(
      Call call, AttemptsInProgress attempts, EndpointSelection selection, RetryAllowance retries) {
    this.call = call;
    this.attempts = attempts;
    this.selection = selection;
    this.retries = retries;
  }

  /** Returns whether the call has to be passed to a peer now. */
  boolean isNeeded() {
    return call.context().peers().areNeeded();
  }

  /** Passes the call to a peer, or gives it up if there is none or it came from one. */
  void pass(long nowNanos) {
    CallPlan plan = call.plan();
    boolean passedBefore = call.context().isFromPeer(plan);
    Optional<EndpointChoice.Selected> peer =
        passedBefore ? Optional.empty() : selection.choosePeer(nowNanos);
    if (peer.isEmpty()) {
      call.giveUp(NOTHING_REACHED, nowNanos);
      return;
    }
    Attempt attempt = call.begin(peer.get(), new AttemptTarget.OfPeer(call), nowNanos);
    call.context().metrics().passedToPeers().inc();
    new CallLog(plan).passedToPeer(attempt.identity(), plan.timeRemaining(nowNanos));
    attempt.send(selection.peerRequest(peer.get(), nowNanos));
  }

  /** Passes the call to a peer instead of its attempt at an endpoint that is silent, if it may. */
  void passInsteadOf(Attempt silent, long nowNanos) {
    if (attempts.isPair()
        || !retries.allowsRetryInPlaceOfAttempt(call.progress().hasStarted(), nowNanos)) {
      return;
    }
    silent.cancel(AttemptOutcome.INCONCLUSIVE, nowNanos);
    if (!call.failedAttempts().retryIfAllowed(silent, NOTHING_REACHED, nowNanos)) {
      call.failOrAbort(ErrorCode.UPSTREAM_FAILED, NOTHING_REACHED);
    }
  }
}
