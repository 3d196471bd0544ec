package org.magnoliavale.internal.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.LoadedModel;
import org.magnoliavale.internal.logging.Logs;

/** State of one incarnation of an endpoint as seen by this instance. Not thread-safe. */
final class EndpointState {
  private static final Logger LOG = Logs.of("directory");

  /** Age after which a reported load is ignored. */
  private static final long REPORT_VALIDITY_MS = 2_000;

  /** Time without data after which an endpoint with attempts in flight gets no new requests. */
  private static final long UNRESPONSIVE_AFTER_MS = 900;

  /** Time for which an endpoint that was overloaded gets no new requests. */
  private static final long OVERLOAD_PAUSE_MS = 100;

  /** Time for which an endpoint with repeated failures gets no new requests. */
  private static final long EJECTION_MS = 1_000;

  /** Time for which a missing adapter is not requested again; loading it takes about as long. */
  private static final long MISSING_ADAPTER_PAUSE_MS = 60;

  private static final long MISSING_MODEL_PAUSE_MS = 1_000;

  /** Time after which an endpoint's own entry shows that an artifact was unloaded. */
  private static final long UNLOAD_VISIBLE_AFTER_MS = 5_500;

  private static final long UNREACHABLE_MS = 1_500;

  /** Slot utilization up to which requests do not slow each other down. */
  private static final double UNSATURATED_SLOT_UTILIZATION = 0.25;

  /** Slot utilization at which all requests are slowed down. */
  private static final double SATURATED_SLOT_UTILIZATION = 0.75;

  /** Mean time between stream events up to which an engine counts as unsaturated. */
  private static final double UNSATURATED_EVENT_INTERVAL_MS = 80;

  /** Mean time between stream events at which most streams have pauses that are too long. */
  private static final double SATURATED_EVENT_INTERVAL_MS = 240;

  private static final double EVENT_INTERVAL_SMOOTHING = 0.08;

  private static final int FAILURES_BEFORE_EJECTION = 3;
  private static final double SMOOTHING = 0.2;

  private final PrefixCacheEstimate prefixCache = new PrefixCacheEstimate();
  private final Map<Artifact, Long> missingUntil = new HashMap<>();
  private final Set<Artifact> announcedLoaded = new HashSet<>();
  private DirectoryEntry entry;
  private boolean listed = true;
  private boolean replaced;
  private int inFlight;
  private int inFlightAtReport;
  private ReportedLoad report;
  private long reportNanos;
  private long lastActivityNanos;
  private long pausedUntilNanos;
  private int consecutiveFailures;
  private boolean unreachable;
  private long unreachableSinceNanos;
  private double failureRate;
  private double firstByteMs;
  private double eventIntervalMs;
  private long lastEventNanos;

  EndpointState(DirectoryEntry entry, long nowNanos) {
    this.entry = entry;
    this.lastActivityNanos = nowNanos;
    this.pausedUntilNanos = nowNanos;
  }

  DirectoryEntry entry() {
    return entry;
  }

  int inFlight() {
    return inFlight;
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
      missingUntil.clear();
      announcedLoaded.removeIf(artifact -> shows(newEntry, artifact));
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
          entry.identity(), value, inFlight);
    }
    listed = value;
  }

  /** Returns whether the endpoint is listed or has attempts in flight. */
  boolean isInUse() {
    return listed || inFlight > 0;
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
    return inFlight > 0 && milliseconds(nowNanos - lastActivityNanos) > UNRESPONSIVE_AFTER_MS;
  }

  boolean holds(Artifact artifact, long nowNanos) {
    if (isMissing(artifact, nowNanos) || isMissing(artifact.baseModel(), nowNanos)) {
      return false;
    }
    return announcedLoaded.contains(artifact) || shows(entry, artifact);
  }

  private boolean isMissing(Artifact artifact, long nowNanos) {
    Long until = missingUntil.get(artifact);
    return until != null && until - nowNanos > 0;
  }

  private static boolean shows(DirectoryEntry entry, Artifact artifact) {
    Optional<LoadedModel> model = entry.model(artifact.model());
    return model.isPresent()
        && artifact.adapter().map(model.get().adapters()::contains).orElse(true);
  }

  /** Records that the endpoint does not hold an artifact now, although it may be loading it. */
  void recordMissing(Artifact artifact, long nowNanos) {
    long pause = artifact.adapter().isPresent() ? MISSING_ADAPTER_PAUSE_MS : MISSING_MODEL_PAUSE_MS;
    missingUntil.put(artifact, nowNanos + TimeUnit.MILLISECONDS.toNanos(pause));
  }

  /** Records that an artifact is being unloaded. */
  void recordUnloading(Artifact artifact, long nowNanos) {
    announcedLoaded.remove(artifact);
    missingUntil.put(artifact, nowNanos + TimeUnit.MILLISECONDS.toNanos(UNLOAD_VISIBLE_AFTER_MS));
  }

  void recordLoaded(Artifact artifact) {
    missingUntil.remove(artifact);
    announcedLoaded.add(artifact);
  }

  void attemptStarted(Optional<GenerationRequest> generation, long nowNanos) {
    if (inFlight == 0) {
      // The time without data counts only while a response is due.
      lastActivityNanos = nowNanos;
    }
    inFlight++;
    generation.ifPresent(prefixCache::recordPrompt);
  }

  void recordActivity(long nowNanos) {
    unreachable = false;
    lastActivityNanos = nowNanos;
  }

  void recordLoad(ReportedLoad load, long nowNanos) {
    report = load;
    reportNanos = nowNanos;
    inFlightAtReport = inFlight;
  }

  void recordFirstByte(double milliseconds) {
    firstByteMs += SMOOTHING * (milliseconds - firstByteMs);
  }

  /** Records the time between two events of a stream, in milliseconds. */
  void recordEventInterval(double milliseconds, long nowNanos) {
    boolean first =
        milliseconds(nowNanos - lastEventNanos) > REPORT_VALIDITY_MS || eventIntervalMs == 0;
    eventIntervalMs =
        first
            ? milliseconds
            : eventIntervalMs + EVENT_INTERVAL_SMOOTHING * (milliseconds - eventIntervalMs);
    lastEventNanos = nowNanos;
  }

  /** Returns the recent mean time between stream events; 0 if there were none. */
  double eventIntervalMs(long nowNanos) {
    return milliseconds(nowNanos - lastEventNanos) > REPORT_VALIDITY_MS ? 0 : eventIntervalMs;
  }

  void attemptEnded(AttemptOutcome outcome, long nowNanos) {
    inFlight--;
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

  long reportAgeMs(long nowNanos) {
    return report == null ? -1 : milliseconds(nowNanos - reportNanos);
  }

  /** Returns how much requests slow each other down, from 0 (not at all) to 1 (all of them). */
  double saturation(long nowNanos) {
    double fromEventInterval =
        (eventIntervalMs(nowNanos) - UNSATURATED_EVENT_INTERVAL_MS)
            / (SATURATED_EVENT_INTERVAL_MS - UNSATURATED_EVENT_INTERVAL_MS);
    double fromSlots =
        (slotUtilization(nowNanos) - UNSATURATED_SLOT_UTILIZATION)
            / (SATURATED_SLOT_UTILIZATION - UNSATURATED_SLOT_UTILIZATION);
    return Math.clamp(Math.max(fromEventInterval, fromSlots), 0, 1);
  }

  /** Returns the slot utilization in the last report; more than 1 if requests are queued. */
  private double slotUtilization(long nowNanos) {
    if (report == null || milliseconds(nowNanos - reportNanos) > REPORT_VALIDITY_MS) {
      return 0;
    }
    return (double) (report.running() + report.waiting()) / Math.max(1, report.slots());
  }

  /** Estimates the current requests at the endpoint, including those of other instances. */
  double load(int instances, long nowNanos) {
    if (report == null || milliseconds(nowNanos - reportNanos) > REPORT_VALIDITY_MS) {
      return (double) inFlight * Math.max(1, instances);
    }
    int others = Math.max(0, report.running() + report.waiting() - inFlightAtReport);
    return others + inFlight;
  }

  private static long milliseconds(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
