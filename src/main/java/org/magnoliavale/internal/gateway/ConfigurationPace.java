package org.magnoliavale.internal.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides how long an instance waits for a change of the configuration, and when it reads the
 * configuration besides that. Does no I/O and reads no clock: times are in nanoseconds of a
 * monotonic clock. Thread-safe.
 *
 * <p>Among instances that tell each other their versions the wait is long, since a change that this
 * instance misses is heard from a peer. It then reads at once, and again while the peer is ahead.
 * If the peers fall silent during a long wait, or the store comes back from a copy, it reads now
 * and then until the wait ends.
 */
final class ConfigurationPace {
  /** The wait while peers are heard; each wait is a request. */
  static final Duration LONG_WAIT = Duration.ofSeconds(3);

  /**
   * Time without a peer's version after which peers count as silent. Relays repeat each heartbeat
   * after 2 s; a read after this time still ends within 3 s of the silence.
   */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Time for which a peer's version counts without being stated again. */
  private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final long READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long SLOW_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Reads that change nothing before reads are slow; a peer may state a version that is wrong. */
  private static final int FRUITLESS_READS = 5;

  private final boolean strict;
  private boolean everHeard;
  private long heardNanos;
  private long newestVersion;
  private long newestNanos;
  private boolean waitsLong;
  private boolean everRead;
  private long readNanos;
  private long versionAtRead;
  private int fruitlessReads;

  /**
   * Creates a pace.
   *
   * @param strict whether keys may only be believed after a recent read, so that no wait is long
   */
  ConfigurationPace(boolean strict) {
    this.strict = strict;
  }

  /** Records the version that a peer states; one that is not positive is none. */
  synchronized void heard(long version, long nowNanos) {
    if (version <= 0) {
      return;
    }
    everHeard = true;
    heardNanos = nowNanos;
    if (version >= newestVersion || nowNanos - newestNanos > EXPIRY_NANOS) {
      newestVersion = version;
      newestNanos = nowNanos;
    }
  }

  /**
   * Begins a wait; returns its length, or nothing for the usual one of the source.
   *
   * @param relayed whether heartbeats with a new version are passed on at once
   */
  synchronized Optional<Duration> nextWait(boolean relayed, long nowNanos) {
    waitsLong = relayed && !strict && hearsPeers(nowNanos);
    return waitsLong ? Optional.of(LONG_WAIT) : Optional.empty();
  }

  /** Returns whether the last wait that began is a long one. */
  synchronized boolean isWaitLong() {
    return waitsLong;
  }

  /**
   * Returns whether the configuration should be read now, besides the wait.
   *
   * @param waitVoid whether the wait may no longer end with the next change
   */
  synchronized boolean isReadDue(long ownVersion, boolean waitVoid, long nowNanos) {
    boolean behind = isBehind(ownVersion, nowNanos);
    boolean unheard = waitsLong && (waitVoid || !hearsPeers(nowNanos));
    // The first configuration is read whole anyway.
    if (ownVersion <= 0 || !(behind || unheard)) {
      return false;
    }
    boolean fresh = ownVersion > versionAtRead || fruitlessReads < FRUITLESS_READS;
    long interval = behind && fresh ? READ_INTERVAL_NANOS : SLOW_READ_INTERVAL_NANOS;
    return !everRead || nowNanos - readNanos >= interval;
  }

  /** Records that a read begins. */
  synchronized void readBegins(long ownVersion, long nowNanos) {
    if (ownVersion > versionAtRead) {
      fruitlessReads = 0;
    }
    fruitlessReads = Math.min(fruitlessReads + 1, FRUITLESS_READS);
    versionAtRead = ownVersion;
    everRead = true;
    readNanos = nowNanos;
  }

  private boolean isBehind(long ownVersion, long nowNanos) {
    return newestVersion > ownVersion && nowNanos - newestNanos <= EXPIRY_NANOS;
  }

  private boolean hearsPeers(long nowNanos) {
    return everHeard && nowNanos - heardNanos < SILENCE_NANOS;
  }
}
