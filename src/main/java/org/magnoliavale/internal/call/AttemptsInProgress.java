package org.magnoliavale.internal.call;

import java.util.Optional;
import org.magnoliavale.internal.dispatch.AttemptOutcome;

/**
 * The attempts of a call that have not ended: one, or two while an attempt at a silent or slow
 * endpoint is kept beside one at another endpoint. The first of the two that makes progress is
 * kept, and an endpoint that only paused loses nothing if the other one does not take the call.
 * Guarded by its call.
 */
final class AttemptsInProgress {
  private Optional<Attempt> latest = Optional.empty();
  private Optional<Attempt> earlier = Optional.empty();

  /** Adds the only attempt in progress. */
  void add(Attempt attempt) {
    latest = Optional.of(attempt);
    earlier = Optional.empty();
  }

  /** Adds an attempt beside the one in progress, whose endpoint is silent or slow. */
  void addBeside(Attempt attempt) {
    earlier = latest;
    latest = Optional.of(attempt);
  }

  /** Returns the attempt that was added last of those in progress. */
  Optional<Attempt> latest() {
    return latest;
  }

  /** Returns whether an earlier attempt is kept beside another one. */
  boolean isPair() {
    return earlier.isPresent();
  }

  /** Removes an attempt that has ended; returns whether another one goes on. */
  boolean removeEnded(Attempt ended) {
    Optional<Attempt> other = other(ended);
    latest = other;
    earlier = Optional.empty();
    return other.isPresent();
  }

  /** Cancels the other one of a pair, and returns it. */
  Optional<Attempt> keepOnly(Attempt kept, long nowNanos) {
    Optional<Attempt> other = other(kept);
    // An endpoint that was left because the silent one woke up has not failed.
    AttemptOutcome outcome =
        latest.get() == kept ? AttemptOutcome.FAILED : AttemptOutcome.INCONCLUSIVE;
    other.ifPresent(attempt -> attempt.cancel(outcome, nowNanos));
    add(kept);
    return other;
  }

  private Optional<Attempt> other(Attempt attempt) {
    return earlier.isEmpty() || earlier.get() != attempt ? earlier : latest;
  }

  /** Cancels all attempts in progress. */
  void cancel(AttemptOutcome outcome, long nowNanos) {
    latest.ifPresent(attempt -> attempt.cancel(outcome, nowNanos));
    earlier.ifPresent(attempt -> attempt.cancel(outcome, nowNanos));
    latest = Optional.empty();
    earlier = Optional.empty();
  }
}
