package org.magnoliavale.internal.metrics;

import com.codahale.metrics.Counter;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Counts unexpected exceptions, and logs them at a bounded rate, so that a fault that each call or
 * each period meets does not fill the log. Thread-safe.
 */
public final class UnexpectedFailures {
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Counter counter;
  private final Logger log;
  private final LongSupplier nanoClock;
  private long loggedNanos;
  private long unlogged;
  private boolean everLogged;

  /** Returns an object that counts with {@code counter} and logs to {@code log}. */
  public UnexpectedFailures(Counter counter, Logger log) {
    this(counter, log, System::nanoTime);
  }

  UnexpectedFailures(Counter counter, Logger log, LongSupplier nanoClock) {
    this.counter = counter;
    this.log = log;
    this.nanoClock = nanoClock;
  }

  /** Records an exception; {@code message} says what failed. */
  public void record(Throwable failure, String message) {
    counter.inc();
    long skipped = takeTurn();
    if (skipped >= 0) {
      log.errorf(failure, "%s not-logged-before=%d", message, skipped);
    }
  }

  /** Runs a step; an exception is recorded with {@code message}, and not passed on. */
  public void contain(String message, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      record(e, message);
    }
  }

  /** Returns the number of failures that were not logged since the last one, or -1 if too soon. */
  private synchronized long takeTurn() {
    long now = nanoClock.getAsLong();
    if (everLogged && now - loggedNanos < LOG_INTERVAL_NANOS) {
      unlogged++;
      return -1;
    }
    long skipped = unlogged;
    unlogged = 0;
    loggedNanos = now;
    everLogged = true;
    return skipped;
  }
}
