package org.magnoliavale.internal.routing;

import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.internal.engine.EngineReport;

/**
 * What this instance knows about an endpoint's load: its latest report, and its own requests there.
 * Thread-safe; shared by all routing snapshots.
 */
public final class EndpointLoad {
  private static final double DEFAULT_TOKENS_PER_REQUEST = 64;

  private record Reported(int outstanding, double tokens, int ownInFlight) {}

  private final AtomicInteger ownInFlight = new AtomicInteger();
  private volatile Reported reported = new Reported(0, 0, 0);
  private volatile long ejectedUntilNanos;
  private volatile long unreachableUntilNanos;
  private volatile String incarnation = "";
  private volatile boolean draining;
  private final AtomicInteger failuresInRow = new AtomicInteger();

  /** Notes that a request was sent. */
  public void begin() {
    ownInFlight.incrementAndGet();
  }

  /** Notes that a request ended, in whatever way. */
  public void end() {
    ownInFlight.decrementAndGet();
  }

  /** Takes in a report that was just read. */
  public void report(EngineReport report) {
    int outstanding = report.running() + report.waiting();
    double tokens =
        outstanding == 0
            ? DEFAULT_TOKENS_PER_REQUEST
            : report.queuedTokens() / (double) outstanding;
    reported = new Reported(outstanding, tokens, ownInFlight.get());
    draining = report.draining();
    incarnation = report.incarnation();
  }

  /** Returns this instance's requests in progress there. */
  public int ownInFlight() {
    return ownInFlight.get();
  }

  /** Returns the requests in progress or waiting there by the latest report. */
  public int reportedOutstanding() {
    return reported.outstanding();
  }

  /**
   * Returns the requests that are probably there now: those reported, and those that this instance
   * has sent or finished since, once for itself and once for every instance that does alike.
   */
  public double estimatedOutstanding(int instances) {
    Reported latest = reported;
    int ownChange = ownInFlight.get() - latest.ownInFlight();
    double estimate = latest.outstanding() + (double) ownChange * instances;
    return Math.max(Math.max(0, ownInFlight.get()), estimate);
  }

  /** Returns the mean number of tokens that a request there still needs. */
  public double tokensPerRequest() {
    return Math.max(1, reported.tokens());
  }

  /** Notes a success; a sick endpoint is taken back. */
  public void succeeded() {
    failuresInRow.set(0);
    ejectedUntilNanos = 0;
    unreachableUntilNanos = 0;
  }

  /** Notes a failure and returns how many came in a row. */
  public int failed() {
    return failuresInRow.incrementAndGet();
  }

  /** Sends the endpoint nothing until {@code untilNanos}, unless nothing else is left. */
  public void eject(long untilNanos) {
    ejectedUntilNanos = untilNanos;
  }

  /** Sends the endpoint nothing at all until {@code untilNanos}: no connection can be made. */
  public void markUnreachable(long untilNanos) {
    unreachableUntilNanos = untilNanos;
  }

  /** Tells whether no connection could be made lately. */
  public boolean isUnreachable(long nowNanos) {
    return unreachableUntilNanos != 0 && unreachableUntilNanos - nowNanos > 0;
  }

  /** Tells whether the endpoint is to be avoided at {@code nowNanos}. */
  public boolean isEjected(long nowNanos) {
    return ejectedUntilNanos != 0 && ejectedUntilNanos - nowNanos > 0;
  }

  /** Tells whether the endpoint itself says that it takes no new requests. */
  public boolean isDraining() {
    return draining;
  }

  /** Returns the incarnation of the latest report, empty if there is none. */
  public String incarnation() {
    return incarnation;
  }
}
