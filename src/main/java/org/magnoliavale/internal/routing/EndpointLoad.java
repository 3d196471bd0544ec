package org.magnoliavale.internal.routing;

import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.internal.engine.EngineReport;

/**
 * Load and health of an endpoint as seen by this instance: the endpoint's latest report, and the
 * requests that this instance has in flight there. Thread-safe; shared by all routing snapshots.
 */
public final class EndpointLoad {
  /** Mean tokens per request, used while the endpoint's latest report has no requests. */
  private static final double DEFAULT_TOKENS_PER_REQUEST = 64;

  private record Reported(int outstanding, double tokens, int localInFlight) {}

  private final AtomicInteger localInFlight = new AtomicInteger();
  private volatile Reported reported = new Reported(0, 0, 0);
  private volatile long ejectedUntilNanos;
  private volatile long unreachableUntilNanos;
  private volatile String incarnation = "";
  private volatile boolean draining;
  private final AtomicInteger consecutiveFailures = new AtomicInteger();

  /** Records that a request was sent. */
  public void begin() {
    localInFlight.incrementAndGet();
  }

  /** Records that a request ended, whatever its result. */
  public void end() {
    localInFlight.decrementAndGet();
  }

  /** Records a report that has just been received. */
  public void recordReport(EngineReport report) {
    int outstanding = report.running() + report.waiting();
    double tokens =
        outstanding == 0
            ? DEFAULT_TOKENS_PER_REQUEST
            : report.queuedTokens() / (double) outstanding;
    reported = new Reported(outstanding, tokens, localInFlight.get());
    draining = report.draining();
    incarnation = report.incarnation();
  }

  /** Returns the number of this instance's requests in flight at the endpoint. */
  public int localInFlight() {
    return localInFlight.get();
  }

  /** Returns the number of running and waiting requests according to the latest report. */
  public int reportedOutstanding() {
    return reported.outstanding();
  }

  /**
   * Estimates the outstanding requests now: the reported number, plus the change in this instance's
   * own requests since the report, multiplied by {@code instances} because the other instances are
   * assumed to behave alike.
   */
  public double estimatedOutstanding(int instances) {
    Reported latest = reported;
    int localChange = localInFlight.get() - latest.localInFlight();
    double estimate = latest.outstanding() + (double) localChange * instances;
    return Math.max(Math.max(0, localInFlight.get()), estimate);
  }

  /** Returns the mean number of tokens still to be generated per request, at least 1. */
  public double tokensPerRequest() {
    return Math.max(1, reported.tokens());
  }

  /** Records a success, which ends an ejection or unreachable period. */
  public void succeeded() {
    consecutiveFailures.set(0);
    ejectedUntilNanos = 0;
    unreachableUntilNanos = 0;
  }

  /** Records a failure and returns the number of consecutive failures. */
  public int failed() {
    return consecutiveFailures.incrementAndGet();
  }

  /** Ejects the endpoint until {@code untilNanos}: it is used only if no other is left. */
  public void eject(long untilNanos) {
    ejectedUntilNanos = untilNanos;
  }

  /** Excludes the endpoint until {@code untilNanos}, because it accepts no connection. */
  public void markUnreachable(long untilNanos) {
    unreachableUntilNanos = untilNanos;
  }

  /** Returns whether the endpoint is excluded at {@code nowNanos} as unreachable. */
  public boolean isUnreachable(long nowNanos) {
    return unreachableUntilNanos != 0 && unreachableUntilNanos - nowNanos > 0;
  }

  /** Returns whether the endpoint is ejected at {@code nowNanos}. */
  public boolean isEjected(long nowNanos) {
    return ejectedUntilNanos != 0 && ejectedUntilNanos - nowNanos > 0;
  }

  /** Returns whether the endpoint reported that it accepts no new requests. */
  public boolean isDraining() {
    return draining;
  }

  /** Returns the incarnation of the latest report, empty if there is none. */
  public String incarnation() {
    return incarnation;
  }
}
