package org.magnoliavale.internal.dispatch;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.logging.Logs;

/** State of one incarnation of an endpoint as seen by this instance. Not thread-safe. */
final class EndpointState {
  private static final Logger LOG = Logs.of("directory");

  /** Time without data after which an endpoint with attempts in flight gets no new requests. */
  private static final long UNRESPONSIVE_AFTER_MS = 900;

  /** Time for which an endpoint that was overloaded gets no new requests. */
  private static final long OVERLOAD_PAUSE_MS = 100;

  /** Time for which an endpoint with repeated failures gets no new requests. */
  private static final long EJECTION_MS = 1_000;

  private static final long UNREACHABLE_MS = 1_500;

  /** Slot utilization up to which requests do not slow each other down. */
  private static final double UNSATURATED_SLOT_UTILIZATION = 0.25;

  /** Slot utilization at which all requests are slowed down. */
  private static final double SATURATED_SLOT_UTILIZATION = 0.75;

  /** Share of the longest pause on time up to which the mean pause counts as unsaturated. */
  private static final double UNSATURATED_GAP_SHARE = 0.27;

  /** Share of the longest pause on time at which most streams have pauses that are too long. */
  private static final double SATURATED_GAP_SHARE = 0.8;

  private static final double EVENT_INTERVAL_SMOOTHING = 0.08;

  /** How much an event's interval says of an endpoint's speed, beside a whole prompt. */
  private static final double EVENT_INTERVAL_WEIGHT = 0.2;

  private static final int FAILURES_BEFORE_EJECTION = 3;
  private static final double SMOOTHING = 0.2;

  private final ServicePace pace;
  private final int loadKey;
  private final PrefixCacheEstimate prefixCache = new PrefixCacheEstimate();
  private final ArtifactHoldings holdings = new ArtifactHoldings();
  private final OutstandingRequests outstanding = new OutstandingRequests();
  private final LoadEstimate loadEstimate;
  private final EndpointSpeed speed = new EndpointSpeed();
  private DirectoryEntry entry;
  private boolean listed = true;
  private boolean replaced;
  private long lastActivityNanos;
  private long pausedUntilNanos;
  private int consecutiveFailures;
  private boolean unreachable;
  private long unreachableSinceNanos;
  private double failureRate;
  private double firstByteMs;
  private double eventIntervalMs;
  private long lastEventNanos;

  /**
   * Returns the state of an endpoint that has just been listed.
   *
   * @param pace how long work takes at the endpoints of its service
   * @param seed of the random rounding of this instance's share of its room
   */
  EndpointState(DirectoryEntry entry, ServicePace pace, long seed, long nowNanos) {
    this.entry = entry;
    this.pace = pace;
    this.loadEstimate = new LoadEstimate(seed);
    this.loadKey = entry.identity().toString().hashCode();
    this.lastActivityNanos = nowNanos;
    this.pausedUntilNanos = nowNanos;
  }

  DirectoryEntry entry() {
    return entry;
  }

  /** Returns the hash by which instances name the endpoint when they tell each other its load. */
  int loadKey() {
    return loadKey;
  }

  ServicePace pace() {
    return pace;
  }

  ArtifactHoldings holdings() {
    return holdings;
  }

  OutstandingRequests outstanding() {
    return outstanding;
  }

  LoadEstimate loadEstimate() {
    return loadEstimate;
  }

  EndpointSpeed speed() {
    return speed;
  }

  PrefixCacheEstimate prefixCache() {
    return prefixCache;
  }

  double failureRate() {
    return failureRate;
  }

  double firstByteMs() {
    return firstByteMs;
  }

  void update(DirectoryEntry newEntry) {
    if (newEntry.heartbeat() != entry.heartbeat()) {
      holdings.update(newEntry);
    }
    if (newEntry.draining() != entry.draining()) {
      LOG.infof(
          "Endpoint entry changed. endpoint=%s draining=%s heartbeat=%d previous-heartbeat=%d",
          newEntry.identity(), newEntry.draining(), newEntry.heartbeat(), entry.heartbeat());
    }
    entry = newEntry;
  }

  /** Sets whether the endpoint is listed; one that is listed again accepts requests again. */
  void setListed(boolean value) {
    if (value != listed) {
      LOG.infof(
          "Endpoint listing changed. endpoint=%s listed=%s in-flight=%d",
          entry.identity(), value, outstanding.size());
    }
    listed = value;
  }

  /** Returns whether the endpoint is listed or has attempts in flight. */
  boolean isInUse() {
    return listed || outstanding.size() > 0;
  }

  /** Records that another incarnation answers at the address. */
  void markReplaced() {
    replaced = true;
  }

  boolean isAvailable() {
    return listed && !replaced && !entry.draining();
  }

  boolean isHealthy(long nowNanos) {
    return nowNanos - pausedUntilNanos >= 0 && !isUnresponsive(nowNanos);
  }

  /** Returns whether the last connection attempt failed a short time ago. */
  boolean isUnreachable(long nowNanos) {
    return unreachable && milliseconds(nowNanos - unreachableSinceNanos) < UNREACHABLE_MS;
  }

  boolean isUnresponsive(long nowNanos) {
    return outstanding.size() > 0
        && milliseconds(nowNanos - lastActivityNanos) > UNRESPONSIVE_AFTER_MS;
  }

  boolean holds(Artifact artifact, long nowNanos) {
    return holdings.holds(entry, artifact, nowNanos);
  }

  void attemptStarted(SentRequest request, Optional<GenerationRequest> generation, long nowNanos) {
    if (outstanding.size() == 0) {
      // The time without data counts only while a response is due.
      lastActivityNanos = nowNanos;
    }
    outstanding.add(request);
    generation.ifPresent(prefixCache::recordPrompt);
    generation.ifPresent(ignored -> pace.recordRequest(request));
  }

  void recordActivity(long nowNanos) {
    unreachable = false;
    lastActivityNanos = nowNanos;
  }

  void recordFirstByte(SentRequest request, long nowNanos) {
    double milliseconds = milliseconds(nowNanos - request.sentNanos());
    firstByteMs += SMOOTHING * (milliseconds - firstByteMs);
    if (!request.isForEngine()) {
      pace.recordPlain(milliseconds);
    }
  }

  /** Records an event of a stream. */
  void recordEvent(SentRequest request, long nowNanos) {
    Optional<Long> previous = request.recordEvent(nowNanos);
    if (previous.isPresent()) {
      recordEventInterval(milliseconds(nowNanos - previous.get()), nowNanos);
    } else {
      outstanding.promptRead(request);
      recordFirstEvent(request, nowNanos);
    }
  }

  private void recordFirstEvent(SentRequest request, long nowNanos) {
    EndpointForecast forecast = request.forecast();
    if (forecast.requests() >= entry.slots()) {
      // It may have waited for a slot, which says nothing of the speed.
      return;
    }
    double unreadTokens = forecast.unreadTokens() + request.uncachedTokens();
    double usualMs = milliseconds(nowNanos - request.sentNanos()) / loadEstimate.slowdown(nowNanos);
    speed.record(usualMs, pace.firstEventMs(unreadTokens), 1, nowNanos);
    pace.recordFirstEvent(unreadTokens, usualMs);
  }

  private void recordEventInterval(double milliseconds, long nowNanos) {
    boolean first =
        milliseconds(nowNanos - lastEventNanos) > LoadEstimate.VALIDITY_MS || eventIntervalMs == 0;
    eventIntervalMs =
        first
            ? milliseconds
            : eventIntervalMs + EVENT_INTERVAL_SMOOTHING * (milliseconds - eventIntervalMs);
    lastEventNanos = nowNanos;
    if (loadEstimate.isValid(nowNanos)) {
      double usualMs = milliseconds / loadEstimate.slowdown(nowNanos);
      double running = loadEstimate.report().running();
      speed.record(usualMs, pace.eventIntervalMs(running), EVENT_INTERVAL_WEIGHT, nowNanos);
      pace.recordEventInterval(running, usualMs);
    }
  }

  void attemptEnded(SentRequest request, AttemptOutcome outcome, long nowNanos) {
    if (outcome == AttemptOutcome.ANSWERED && request.hasBegun()) {
      pace.recordResidence(milliseconds(nowNanos - request.sentNanos()));
    }
    outstanding.remove(request, nowNanos);
    switch (outcome) {
      case ANSWERED -> {
        consecutiveFailures = 0;
        failureRate -= SMOOTHING * failureRate;
      }
      case OVERLOADED -> pause(OVERLOAD_PAUSE_MS, nowNanos);
      case FAILED, UNREACHABLE -> {
        if (outcome == AttemptOutcome.UNREACHABLE) {
          unreachable = true;
          unreachableSinceNanos = nowNanos;
        }
        consecutiveFailures++;
        failureRate += SMOOTHING * (1 - failureRate);
        if (consecutiveFailures >= FAILURES_BEFORE_EJECTION
            || outcome == AttemptOutcome.UNREACHABLE) {
          pause(EJECTION_MS, nowNanos);
        }
      }
      case INCONCLUSIVE -> {}
    }
  }

  private void pause(long milliseconds, long nowNanos) {
    pausedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  /**
   * Returns how much requests slow each other down, from 0 (not at all) to 1 (all of them).
   *
   * @param targetGapMs longest pause between events that is on time
   */
  double saturation(double targetGapMs, long nowNanos) {
    double recentMs =
        milliseconds(nowNanos - lastEventNanos) > LoadEstimate.VALIDITY_MS ? 0 : eventIntervalMs;
    double fromEventInterval =
        (recentMs / targetGapMs - UNSATURATED_GAP_SHARE)
            / (SATURATED_GAP_SHARE - UNSATURATED_GAP_SHARE);
    double fromSlots =
        (slotUtilization(nowNanos) - UNSATURATED_SLOT_UTILIZATION)
            / (SATURATED_SLOT_UTILIZATION - UNSATURATED_SLOT_UTILIZATION);
    return Math.clamp(Math.max(fromEventInterval, fromSlots), 0, 1);
  }

  /** Returns the slot utilization in the last report; more than 1 if requests are queued. */
  private double slotUtilization(long nowNanos) {
    if (!loadEstimate.isValid(nowNanos)) {
      return 0;
    }
    ReportedLoad report = loadEstimate.report();
    return (double) (report.running() + report.waiting()) / Math.max(1, report.slots());
  }

  private static double milliseconds(long nanos) {
    return (double) nanos / TimeUnit.MILLISECONDS.toNanos(1);
  }
}
