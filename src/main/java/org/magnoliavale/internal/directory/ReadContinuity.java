package org.magnoliavale.internal.directory;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * For how long this instance and its peers have read the directory without a failure, and so for
 * how long the store has been available at least. Thread-safe.
 *
 * <p>Times are in nanoseconds of a monotonic clock.
 */
public final class ReadContinuity {
  /** Longest time between two reads of an instance that runs and reaches the store. */
  private static final long MAXIMUM_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  private OptionalLong firstReadNanos = OptionalLong.empty();
  private long lastReadNanos;
  private OptionalLong peerFirstReadNanos = OptionalLong.empty();

  /** Records a successful read. */
  public synchronized void recordRead(long nowNanos) {
    if (firstReadNanos.isEmpty() || nowNanos - lastReadNanos > MAXIMUM_GAP_NANOS) {
      firstReadNanos = OptionalLong.of(nowNanos);
    }
    lastReadNanos = nowNanos;
  }

  /** Records a failed read. */
  public synchronized void recordFailure() {
    firstReadNanos = OptionalLong.empty();
  }

  /** Discards what peers have said until now. */
  synchronized void forgetPeers() {
    peerFirstReadNanos = OptionalLong.empty();
  }

  /** Returns for how long reads have succeeded, in milliseconds, to be told to peers; 0 if none. */
  public synchronized long continuousMs(long nowNanos) {
    if (firstReadNanos.isEmpty() || nowNanos - lastReadNanos > MAXIMUM_GAP_NANOS) {
      return 0;
    }
    return TimeUnit.NANOSECONDS.toMillis(lastReadNanos - firstReadNanos.getAsLong());
  }

  /** Records for how long the reads of a peer have succeeded. */
  public synchronized void learn(long continuousMs, long nowNanos) {
    long firstNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(continuousMs);
    if (peerFirstReadNanos.isEmpty() || firstNanos < peerFirstReadNanos.getAsLong()) {
      peerFirstReadNanos = OptionalLong.of(firstNanos);
    }
  }

  /** Returns whether a peer has said that it has read the directory since {@code nanos}. */
  synchronized boolean peerHasReadSince(long nanos) {
    return peerFirstReadNanos.isPresent() && peerFirstReadNanos.getAsLong() <= nanos;
  }
}
