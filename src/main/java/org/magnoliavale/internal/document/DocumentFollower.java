package org.magnoliavale.internal.document;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;
import org.magnoliavale.Service;

/**
 * Looks for new versions of the document in the table. The fleet shares the looks: each instance
 * looks less often the more instances there are, and passes what it finds on to the others.
 */
public final class DocumentFollower implements Service {
  private static final Duration LONGEST_INTERVAL = Duration.ofSeconds(30);

  private final DocumentStore store;
  private final DocumentHolder holder;
  private final Duration fleetInterval;
  private final IntSupplier instances;
  private volatile boolean stopped;
  private Thread thread;

  /** Returns a follower; {@code fleetInterval} is the time between two looks by the whole fleet. */
  public DocumentFollower(
      DocumentStore store, DocumentHolder holder, Duration fleetInterval, IntSupplier instances) {
    this.store = store;
    this.holder = holder;
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

  /** Looks once. */
  public void look() {
    Optional<Long> version = store.readVersion();
    if (version.isPresent() && version.get() > holder.version()) {
      store.readText().ifPresent(text -> holder.install(text, "table"));
    }
  }

  private void loop() {
    try {
      while (!stopped) {
        look();
        Thread.sleep(interval());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Duration interval() {
    if (holder.version() == 0) {
      return fleetInterval;
    }
    Duration shared = fleetInterval.multipliedBy(Math.max(1, instances.getAsInt()));
    Duration bounded = shared.compareTo(LONGEST_INTERVAL) < 0 ? shared : LONGEST_INTERVAL;
    // A random half keeps the instances' looks from falling together.
    long half = bounded.toMillis() / 2;
    return Duration.ofMillis(half + ThreadLocalRandom.current().nextLong(half + 1));
  }
}
