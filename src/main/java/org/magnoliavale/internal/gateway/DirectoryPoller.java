package org.magnoliavale.internal.gateway;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.DirectoryReadResult;
import org.magnoliavale.internal.directory.DirectorySource;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointDirectory;
import org.magnoliavale.internal.logging.Logs;

/**
 * Reads the endpoint directory periodically, on a virtual thread. A failed read is logged once and
 * repeated; the last entries stay in use meanwhile.
 */
final class DirectoryPoller {
  private static final Logger LOG = Logs.of("instance");

  /**
   * Time from the start of a failed read to the next one. After an outage the directory has to be
   * read soon, because missing endpoints are kept for a time that begins with the first read.
   */
  private static final long FAILED_INTERVAL_MS = 800;

  /** Minimum time between the end of a failed read and the next one. */
  private static final long MINIMUM_PAUSE_MS = 50;

  /** Interval at which kept entries are compared with what peers say. */
  private static final long KEPT_CHECK_MS = 100;

  private final DirectorySource source;
  private final DirectoryPace pace;
  private final Consumer<Collection<DirectoryEntry>> listener;
  private final LongSupplier nanoClock;
  private final EndpointDirectory directory;
  private final Semaphore wakeUps = new Semaphore(0);
  private long generation;
  private volatile long readStartNanos;
  private volatile boolean loaded;
  private volatile boolean stopped;

  /**
   * Returns a poller that is not started yet.
   *
   * @param departures records the endpoints that leave the directory
   * @param pace decides how often the directory is read
   * @param listener receives the entries after each successful read, and when kept ones are removed
   */
  DirectoryPoller(
      DirectorySource source,
      EndpointDepartures departures,
      DirectoryPace pace,
      Consumer<Collection<DirectoryEntry>> listener,
      LongSupplier nanoClock) {
    this.source = source;
    this.directory = new EndpointDirectory(departures);
    this.pace = pace;
    this.listener = listener;
    this.nanoClock = nanoClock;
  }

  void start() {
    Thread.ofVirtual().name("directory").start(this::pollLoop);
  }

  void stop() {
    stopped = true;
  }

  /** Returns whether the directory has been read at least once. */
  boolean isLoaded() {
    return loaded;
  }

  private void pollLoop() {
    boolean available = true;
    try {
      while (!stopped) {
        readStartNanos = nanoClock.getAsLong();
        pace.readStarted();
        available = readOnce(available);
        if (available) {
          waitContained();
        } else {
          TimeUnit.MILLISECONDS.sleep(failureDelayMs(readStartNanos, nanoClock.getAsLong()));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the next read; an exception of what decides when it is due ends no loop. */
  private void waitContained() throws InterruptedException {
    try {
      waitForNextRead();
    } catch (RuntimeException | Error e) {
      LOG.errorf(e, "The next read of the endpoint directory is due at a time that is not known.");
      TimeUnit.MILLISECONDS.sleep(FAILED_INTERVAL_MS);
    }
  }

  /** Returns the time from the end of a failed read to the next one. */
  static long failureDelayMs(long startNanos, long endNanos) {
    long durationMs = TimeUnit.NANOSECONDS.toMillis(endNanos - startNanos);
    return Math.max(MINIMUM_PAUSE_MS, FAILED_INTERVAL_MS - durationMs);
  }

  /** Waits, and removes kept entries meanwhile if peers show that they are gone. */
  private void waitForNextRead() throws InterruptedException {
    long remainingMs = delayMs(nanoClock.getAsLong());
    while (directory.graceRemainingMs(nanoClock.getAsLong()) > 0 && remainingMs > KEPT_CHECK_MS) {
      TimeUnit.MILLISECONDS.sleep(KEPT_CHECK_MS);
      remainingMs -= KEPT_CHECK_MS;
      removeKept();
    }
    wakeUps.tryAcquire(remainingMs, TimeUnit.MILLISECONDS);
    wakeUps.drainPermits();
  }

  /** Begins the next read if it is due by now, because the pace has changed since the last one. */
  void checkDue() {
    long now = nanoClock.getAsLong();
    long sinceReadMs = TimeUnit.NANOSECONDS.toMillis(now - readStartNanos);
    // The shorter intervals of a holder are waited for as they are; only the longest one may
    // change.
    if (sinceReadMs >= DirectoryPace.OWN_INTERVAL_MS && sinceReadMs >= pace.intervalMs(now)) {
      wakeUps.release();
    }
  }

  /** Removes the kept entries that peers show to be gone. */
  void removeKept() {
    try {
      if (directory.removeKept(nanoClock.getAsLong())) {
        listener.accept(directory.entries());
      }
    } catch (RuntimeException | Error e) {
      LOG.errorf(e, "Kept endpoints could not be removed.");
    }
  }

  /** Reads the directory once; returns whether it was available. */
  boolean readOnce(boolean wasAvailable) {
    try {
      return applyRead(wasAvailable);
    } catch (RuntimeException | Error e) {
      LOG.errorf(e, "Endpoint directory could not be read or applied.");
      return false;
    }
  }

  private boolean applyRead(boolean wasAvailable) {
    return switch (source.read()) {
      case DirectoryReadResult.Entries(List<DirectoryEntry> entries, long newGeneration) -> {
        observeGeneration(newGeneration);
        listener.accept(directory.update(entries, nanoClock.getAsLong()));
        loaded = true;
        if (!wasAvailable) {
          LOG.infof("Endpoint directory available again. count=%d", entries.size());
        }
        yield true;
      }
      case DirectoryReadResult.Unavailable(String reason) -> {
        directory.markUnavailable();
        if (wasAvailable) {
          LOG.infof("Endpoint directory unavailable. reason=%s", reason);
        }
        yield false;
      }
    };
  }

  /** Endpoints renew their entries after the list came back from a copy, as after an outage. */
  private void observeGeneration(long newGeneration) {
    if (loaded && newGeneration != generation) {
      directory.markUnavailable();
    }
    generation = newGeneration;
  }

  /** Returns the time until the next read, which comes no later than kept entries are removed. */
  long delayMs(long nowNanos) {
    long graceMs = directory.graceRemainingMs(nowNanos);
    long intervalMs = pace.intervalMs(nowNanos);
    return graceMs == 0 ? intervalMs : Math.min(intervalMs, graceMs);
  }
}
