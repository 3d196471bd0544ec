package org.magnoliavale.internal.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Reads the configuration besides the wait for changes when peers are ahead of this instance, as
 * {@link ConfigurationPace} decides; at most one read at a time. Thread-safe; does not block.
 */
final class ConfigurationCatchUp {
  private final ConfigurationPoller poller;
  private final ConfigurationPace pace;
  private final BooleanSupplier relayed;
  private final Executor executor;
  private final LongSupplier nanoClock;
  private final AtomicBoolean reading = new AtomicBoolean();

  /**
   * Creates an object that starts no read before it hears a peer.
   *
   * @param relayed whether heartbeats with a new version are passed on at once
   * @param executor runs blocking reads
   * @param nanoClock monotonic time in nanoseconds
   */
  ConfigurationCatchUp(
      ConfigurationPoller poller,
      ConfigurationPace pace,
      BooleanSupplier relayed,
      Executor executor,
      LongSupplier nanoClock) {
    this.poller = poller;
    this.pace = pace;
    this.relayed = relayed;
    this.executor = executor;
    this.nanoClock = nanoClock;
  }

  /** Records the version that a peer applies, and reads at once if that is a newer one. */
  void heard(long version, long nowNanos) {
    pace.heard(version, nowNanos);
    if (version > poller.version()) {
      checkDue();
    }
  }

  /** Starts a read if one is due and none runs. */
  void checkDue() {
    long version = poller.version();
    long now = nanoClock.getAsLong();
    boolean due = pace.isReadDue(version, poller.isWaitVoid(), now);
    // A fleet may have become small since a long wait began.
    if (!due
        || !(pace.isWaitLong() || relayed.getAsBoolean())
        || !reading.compareAndSet(false, true)) {
      return;
    }
    pace.readBegins(version, now);
    try {
      executor.execute(this::read);
    } catch (RuntimeException | Error e) {
      reading.set(false);
      throw e;
    }
  }

  private void read() {
    try {
      poller.readOnce();
    } finally {
      reading.set(false);
    }
  }
}
