package org.magnoliavale.internal.document;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;
import org.magnoliavale.Service;

/**
 * Polls the platform's table for new versions of the document.
 *
 * <p>The polling interval of an instance grows with the number of instances, so that the read rate
 * of the fleet as a whole stays constant until the maximum interval is reached; instances announce
 * new versions to each other. An instance without a document polls at the interval of the fleet.
 * Polling runs on a virtual thread from {@link #start} to {@link #stop}. A poll to which the table
 * does not respond is skipped.
 */
public final class DocumentPoller implements Service {
  private static final Duration MAXIMUM_INTERVAL = Duration.ofSeconds(30);

  private final DocumentStore store;
  private final ActiveDocument activeDocument;
  private final Duration fleetInterval;
  private final IntSupplier instances;
  private volatile boolean stopped;
  private Thread thread;

  /**
   * Returns a poller that is not started yet.
   *
   * @param store the document in the platform's table
   * @param activeDocument receives new versions
   * @param fleetInterval polling interval of the fleet as a whole
   * @param instances current number of instances
   */
  public DocumentPoller(
      DocumentStore store,
      ActiveDocument activeDocument,
      Duration fleetInterval,
      IntSupplier instances) {
    this.store = store;
    this.activeDocument = activeDocument;
    this.fleetInterval = fleetInterval;
    this.instances = instances;
  }

  @Override
  public void start() {
    thread = Thread.ofVirtual().name("document-follower").start(this::loop);
  }

  @Override
  public void stop() {
    stopped = true;
    thread.interrupt();
  }

  /** Reads the stored version once and installs the document if it is newer. */
  public void poll() {
    Optional<Long> version = store.readVersion();
    if (version.isPresent() && version.get() > activeDocument.version()) {
      store.readText().ifPresent(text -> activeDocument.install(text, "table"));
    }
  }

  private void loop() {
    try {
      while (!stopped) {
        poll();
        Thread.sleep(interval());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Duration interval() {
    if (activeDocument.version() == 0) {
      return fleetInterval;
    }
    Duration shared = fleetInterval.multipliedBy(Math.max(1, instances.getAsInt()));
    Duration bounded = shared.compareTo(MAXIMUM_INTERVAL) < 0 ? shared : MAXIMUM_INTERVAL;
    // Jitter keeps the instances from polling at the same time.
    long half = bounded.toMillis() / 2;
    return Duration.ofMillis(half + ThreadLocalRandom.current().nextLong(half + 1));
  }
}
