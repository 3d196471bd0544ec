package org.magnoliavale.internal.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.HeldModel;

/** State of one incarnation of an endpoint as seen by this instance. Not thread-safe. */
final class EndpointState {
  /** Age after which a reported load is ignored. */
  private static final long REPORT_VALIDITY_MS = 2_000;

  /** Time without data after which an endpoint with attempts in flight gets no new requests. */
  private static final long SILENCE_LIMIT_MS = 900;

  /** Time for which an endpoint that was overloaded gets no new requests. */
  private static final long FULL_PAUSE_MS = 100;

  /** Time for which an endpoint with repeated failures gets no new requests. */
  private static final long EJECTION_MS = 1_000;

  /** Time for which a missing adapter is not requested again; loading it takes about as long. */
  private static final long ADAPTER_PAUSE_MS = 60;

  private static final long MODEL_PAUSE_MS = 1_000;

  /** Time after which an endpoint's own entry shows that an artifact was unloaded. */
  private static final long WITHDRAWAL_MS = 2_500;

  private static final long UNREACHABLE_MS = 1_500;

  /** Slot utilization up to which requests do not slow each other down. */
  private static final double EASY_SLOT_SHARE = 0.25;

  /** Slot utilization at which all requests are slowed down. */
  private static final double FULL_SLOT_SHARE = 0.75;

  /** Mean time between stream events up to which an engine counts as unsaturated. */
  private static final double EASY_GAP_MS = 80;

  /** Mean time between stream events at which most streams have pauses that are too long. */
  private static final double FULL_GAP_MS = 240;

  private static final double GAP_SMOOTHING = 0.08;

  private static final int FAILURES_BEFORE_EJECTION = 3;
  private static final double SMOOTHING = 0.2;

  private final PromptMemory prompts = new PromptMemory();
  private final Map<Artifact, Long> refuted = new HashMap<>();
  private final Set<Artifact> announced = new HashSet<>();
  private DirectoryEntry entry;
  private boolean listed = true;
  private boolean leaving;
  private boolean replaced;
  private int inFlight;
  private int inFlightAtReport;
  private ReportedLoad report;
  private long reportNanos;
  private long heardNanos;
  private long pausedUntilNanos;
  private int failuresInRow;
  private boolean unreachable;
  private long unreachableNanos;
  private double failureShare;
  private double firstByteMs;
  private double eventGapMs;
  private long eventNanos;

  EndpointState(DirectoryEntry entry, long nowNanos) {
    this.entry = entry;
    this.heardNanos = nowNanos;
    this.pausedUntilNanos = nowNanos;
  }

  DirectoryEntry entry() {
    return entry;
  }

  int inFlight() {
    return inFlight;
  }

  PromptMemory prompts() {
    return prompts;
  }

  double failureShare() {
    return failureShare;
  }

  double firstByteMs() {
    return firstByteMs;
  }

  void update(DirectoryEntry newer) {
    if (newer.heartbeat() != entry.heartbeat()) {
      refuted.clear();
      announced.removeIf(artifact -> shows(newer, artifact));
    }
    entry = newer;
  }

  /** Sets whether the endpoint is listed; one that is listed again accepts requests again. */
  void setListed(boolean value) {
    listed = value;
  }

  /** Marks the endpoint as draining before its entry has been read here. */
  void leaves() {
    leaving = true;
  }

  /** Records that another incarnation answers at the address. */
  void replaced() {
    replaced = true;
  }

  boolean isOpen() {
    return listed && !leaving && !replaced && !entry.draining();
  }

  boolean isHealthy(long nowNanos) {
    return nowNanos - pausedUntilNanos >= 0 && !isSilent(nowNanos);
  }

  /** Returns whether the last connection attempt failed a short time ago. */
  boolean isUnreachable(long nowNanos) {
    return unreachable && milliseconds(nowNanos - unreachableNanos) < UNREACHABLE_MS;
  }

  boolean isSilent(long nowNanos) {
    return inFlight > 0 && milliseconds(nowNanos - heardNanos) > SILENCE_LIMIT_MS;
  }

  boolean holds(Artifact artifact, long nowNanos) {
    if (isRefuted(artifact, nowNanos) || isRefuted(artifact.base(), nowNanos)) {
      return false;
    }
    return announced.contains(artifact) || shows(entry, artifact);
  }

  private boolean isRefuted(Artifact artifact, long nowNanos) {
    Long until = refuted.get(artifact);
    return until != null && until - nowNanos > 0;
  }

  private static boolean shows(DirectoryEntry entry, Artifact artifact) {
    Optional<HeldModel> model = entry.model(artifact.model());
    return model.isPresent()
        && artifact.adapter().map(model.get().adapters()::contains).orElse(true);
  }

  /** Records that the endpoint does not hold an artifact, which it may be loading. */
  void refute(Artifact artifact, long nowNanos) {
    long pause = artifact.adapter().isPresent() ? ADAPTER_PAUSE_MS : MODEL_PAUSE_MS;
    refuted.put(artifact, nowNanos + TimeUnit.MILLISECONDS.toNanos(pause));
  }

  /** Records that an artifact is being unloaded. */
  void withdraw(Artifact artifact, long nowNanos) {
    announced.remove(artifact);
    refuted.put(artifact, nowNanos + TimeUnit.MILLISECONDS.toNanos(WITHDRAWAL_MS));
  }

  void announce(Artifact artifact) {
    refuted.remove(artifact);
    announced.add(artifact);
  }

  void sent(Optional<Generation> generation, long nowNanos) {
    if (inFlight == 0) {
      // The time without data counts only while a response is due.
      heardNanos = nowNanos;
    }
    inFlight++;
    generation.ifPresent(prompts::read);
  }

  void heard(long nowNanos) {
    unreachable = false;
    heardNanos = nowNanos;
  }

  void reported(ReportedLoad load, long nowNanos) {
    report = load;
    reportNanos = nowNanos;
    inFlightAtReport = inFlight;
  }

  void firstByte(double milliseconds) {
    firstByteMs += SMOOTHING * (milliseconds - firstByteMs);
  }

  /** Records the time between two events of a stream, in milliseconds. */
  void eventGap(double milliseconds, long nowNanos) {
    boolean first = milliseconds(nowNanos - eventNanos) > REPORT_VALIDITY_MS || eventGapMs == 0;
    eventGapMs = first ? milliseconds : eventGapMs + GAP_SMOOTHING * (milliseconds - eventGapMs);
    eventNanos = nowNanos;
  }

  /** Returns the recent mean time between stream events; 0 if there were none. */
  double eventGapMs(long nowNanos) {
    return milliseconds(nowNanos - eventNanos) > REPORT_VALIDITY_MS ? 0 : eventGapMs;
  }

  void ended(CallResult result, long nowNanos) {
    inFlight--;
    switch (result) {
      case ANSWERED -> {
        failuresInRow = 0;
        failureShare -= SMOOTHING * failureShare;
      }
      case FULL -> pause(FULL_PAUSE_MS, nowNanos);
      case FAILED, UNREACHABLE -> {
        if (result == CallResult.UNREACHABLE) {
          unreachable = true;
          unreachableNanos = nowNanos;
        }
        failuresInRow++;
        failureShare += SMOOTHING * (1 - failureShare);
        if (failuresInRow >= FAILURES_BEFORE_EJECTION || result == CallResult.UNREACHABLE) {
          pause(EJECTION_MS, nowNanos);
        }
      }
      case ABANDONED -> {}
    }
  }

  private void pause(long milliseconds, long nowNanos) {
    pausedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(milliseconds);
  }

  long reportAgeMs(long nowNanos) {
    return report == null ? -1 : milliseconds(nowNanos - reportNanos);
  }

  /** Returns how much requests slow each other down, from 0 (not at all) to 1 (all of them). */
  double crowding(long nowNanos) {
    double gaps = (eventGapMs(nowNanos) - EASY_GAP_MS) / (FULL_GAP_MS - EASY_GAP_MS);
    double slots = (slotShare(nowNanos) - EASY_SLOT_SHARE) / (FULL_SLOT_SHARE - EASY_SLOT_SHARE);
    return Math.clamp(Math.max(gaps, slots), 0, 1);
  }

  /** Returns the slot utilization in the last report; more than 1 if requests are queued. */
  private double slotShare(long nowNanos) {
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
