package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.route.EngineSpecification;

/**
 * The lease holder's state for one incarnation of an endpoint beyond its directory entry: pending
 * commands, the last report, and the model that room is being made for. Not thread-safe.
 *
 * <p>Each command names the sequence number that it expects. So at most one copy of a command takes
 * effect, and none once another command was accepted. Memory is reserved for each pending command
 * until the entry shows its effect or it can no longer take effect.
 */
final class EndpointLedger {
  /** Time after which an accepted adapter load is considered complete. */
  static final long ADAPTER_LOAD_MS = 25;

  /** Time after which a command without a response can no longer take effect. */
  private static final long LATENESS_MS = 13_000;

  /** Time after which a command without a response is sent again with the same sequence. */
  private static final long RESEND_MS = 400;

  /** Maximum time by which a report lags behind the endpoint's state. */
  private static final long REPORT_LAG_MS = 500;

  private static final long REPORT_INTERVAL_MS = 250;

  /** Time after which making room for a model is abandoned. */
  private static final long GOAL_MS = 15_000;

  /**
   * Heartbeats after a command of which the last was certainly written after it. The first one may
   * have been in transit already.
   */
  private static final long HEARTBEATS_AFTER = 2;

  /** Time for which an unreachable endpoint gets no commands and counts as lost. */
  private static final long UNREACHABLE_MS = 1_500;

  /** Time after its load in which a model is not evicted, so that it serves waiting requests. */
  private static final long SETTLING_MS = 5_000;

  private final Map<Artifact, Long> loadedNanos = new HashMap<>();
  private final List<OpenOrder> open = new ArrayList<>();
  private DirectoryEntry entry;
  private OptionalLong sequence = OptionalLong.empty();
  private long acceptedNanos;
  private Optional<Artifact> goal = Optional.empty();
  private long goalNanos;
  private boolean unreachable;
  private long unreachableNanos;
  private boolean replaced;

  private final Set<Artifact> reportedHeld = new HashSet<>();
  private long reportHeartbeat;
  private boolean reportNeeded;
  private long askNanos;

  private EndpointLedger(DirectoryEntry entry, long askNanos) {
    this.entry = entry;
    this.askNanos = askNanos;
    this.reportNeeded = true;
  }

  /** Returns the state of an endpoint that has just appeared; no other holder commands it. */
  static EndpointLedger ofNewEndpoint(DirectoryEntry entry, long nowNanos) {
    return new EndpointLedger(entry, nowNanos - TimeUnit.MILLISECONDS.toNanos(REPORT_INTERVAL_MS));
  }

  /** Returns the state of an endpoint to which a previous holder may just have sent a command. */
  static EndpointLedger ofKnownEndpoint(DirectoryEntry entry, long nowNanos) {
    EndpointLedger ledger = new EndpointLedger(entry, nowNanos);
    ledger.needReport(nowNanos);
    return ledger;
  }

  /**
   * Returns whether a report is due to be fetched. The endpoint gets no commands until it has
   * reported that it is not busy, because it may be executing a previous holder's command.
   */
  boolean isReportDue(long nowNanos) {
    return reportNeeded && age(askNanos, nowNanos) >= REPORT_INTERVAL_MS;
  }

  /** Records that a report is being fetched. */
  void asked(long nowNanos) {
    askNanos = nowNanos;
  }

  /**
   * Requires a report before the next command. It is fetched late enough to show what the endpoint
   * is doing now.
   */
  void needReport(long nowNanos) {
    reportNeeded = true;
    askNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(REPORT_LAG_MS - REPORT_INTERVAL_MS);
  }

  /** Applies a newer directory entry and removes pending commands whose effect it shows. */
  void update(DirectoryEntry newer, long nowNanos) {
    entry = newer;
    Set<Artifact> held = EndpointView.held(newer.models());
    open.removeIf(
        order -> {
          boolean shows = held.contains(order.artifact()) == order.isLoad();
          boolean done = order.certain() && shows && isAfter(order);
          if (done && order.isModel() && order.isLoad()) {
            loadedNanos.put(order.artifact(), nowNanos);
          }
          return done || age(order.sentNanos(), nowNanos) > LATENESS_MS;
        });
    if (newer.heartbeat() >= reportHeartbeat + HEARTBEATS_AFTER) {
      reportedHeld.clear();
    }
    if (goal.isPresent() && age(goalNanos, nowNanos) > GOAL_MS) {
      goal = Optional.empty();
    }
  }

  /**
   * Returns whether the entry was certainly written after the command was accepted. Needed for
   * adapters only, which can be loaded and unloaded between two heartbeats.
   */
  private boolean isAfter(OpenOrder order) {
    return order.isModel() || entry.heartbeat() >= order.heartbeat() + HEARTBEATS_AFTER;
  }

  void opened(EndpointOrder order, long nowNanos) {
    open.add(new OpenOrder(order, nowNanos, false, 0, 0));
  }

  /** Records that the endpoint accepted a command; older ones can no longer take effect. */
  void accepted(EndpointOrder order, long nowNanos) {
    sequence = OptionalLong.of(Math.max(sequence.orElse(0), order.expectedSequence() + 1));
    acceptedNanos = nowNanos;
    open.removeIf(
        known ->
            !known.certain()
                && !known.order().equals(order)
                && known.order().expectedSequence() <= order.expectedSequence());
    if (order.operation() == EndpointOrder.Operation.UNLOAD) {
      reportedHeld.remove(order.artifact());
    }
    // This command supersedes earlier ones for the same artifact.
    open.removeIf(
        known ->
            known.artifact().equals(order.artifact())
                && known.order().expectedSequence() < order.expectedSequence());
    open.replaceAll(
        known -> known.order().equals(order) ? known.accepted(entry.heartbeat()) : known);
  }

  void sentAgain(EndpointOrder order, long nowNanos) {
    open.replaceAll(known -> known.order().equals(order) ? known.sentAgain(nowNanos) : known);
  }

  boolean wasSentAgain(EndpointOrder order) {
    return open.stream().anyMatch(known -> known.order().equals(order) && known.copies() > 0);
  }

  void closed(EndpointOrder order) {
    open.removeIf(known -> known.order().equals(order));
  }

  /**
   * Records that the endpoint is busy or has accepted another command. If this one was sent more
   * than once, an earlier copy may be the accepted one, so it stays pending until it can no longer
   * take effect.
   */
  void conflict(EndpointOrder order, long nowNanos) {
    if (!wasSentAgain(order)) {
      closed(order);
    }
    needReport(nowNanos);
  }

  /**
   * Records that a command's effect already holds. An adapter is unloaded immediately, which
   * advances the endpoint's sequence like an accepted command.
   */
  void done(EndpointOrder order, long nowNanos) {
    boolean dropped =
        order.operation() == EndpointOrder.Operation.UNLOAD
            && order.artifact().adapter().isPresent();
    if (dropped) {
      accepted(order, nowNanos);
    } else {
      closed(order);
    }
  }

  /** Records that no connection to the endpoint could be made. */
  void unreachable(long nowNanos) {
    unreachable = true;
    unreachableNanos = nowNanos;
  }

  /** Records that another incarnation answers at the address. */
  void replaced() {
    replaced = true;
  }

  private boolean isLost(long nowNanos) {
    return replaced || unreachable && age(unreachableNanos, nowNanos) < UNREACHABLE_MS;
  }

  /** Applies a report. Its contents count until the entry was certainly written after it. */
  void reported(EndpointReport report, long nowNanos) {
    boolean settled = age(acceptedNanos, nowNanos) > REPORT_LAG_MS;
    if (sequence.isEmpty() || settled || report.sequence() > sequence.getAsLong()) {
      sequence = OptionalLong.of(report.sequence());
    }
    reportedHeld.clear();
    reportedHeld.addAll(EndpointView.held(report.models()));
    report.coming().forEach(adapter -> reportedHeld.add(Artifact.parse(adapter)));
    reportHeartbeat = entry.heartbeat();
    reportNeeded = report.busy();
    // No one else sends commands, so a sequence beyond a command's shows that it was accepted.
    for (OpenOrder order : List.copyOf(open)) {
      if (!order.certain() && report.sequence() > order.order().expectedSequence()) {
        accepted(order.order(), nowNanos);
      }
    }
  }

  /** Sets the model that room is being made for. */
  void setGoal(Artifact model, long nowNanos) {
    goal = Optional.of(model);
    goalNanos = nowNanos;
  }

  void clearGoal() {
    goal = Optional.empty();
  }

  /** Returns commands without a response that are due to be sent again. */
  List<EndpointOrder> unanswered(long nowNanos) {
    List<EndpointOrder> due = new ArrayList<>();
    for (OpenOrder order : open) {
      if (!order.certain() && age(order.sentNanos(), nowNanos) > RESEND_MS) {
        due.add(order.order());
      }
    }
    return due;
  }

  private Set<Artifact> settling(long nowNanos) {
    loadedNanos.values().removeIf(nanos -> age(nanos, nowNanos) > SETTLING_MS);
    return Set.copyOf(loadedNanos.keySet());
  }

  EndpointView view(EngineSpecification engine, double crowding, long nowNanos) {
    Set<Artifact> artifacts = new HashSet<>(EndpointView.held(entry.models()));
    artifacts.addAll(reportedHeld);
    Set<Artifact> coming = new HashSet<>();
    Set<Artifact> leaving = new HashSet<>();
    boolean busy = reportNeeded;
    for (OpenOrder order : open) {
      boolean settled =
          order.certain() && !order.isModel() && age(order.sentNanos(), nowNanos) > ADAPTER_LOAD_MS;
      busy |= order.isModel() || !order.certain();
      if (order.isLoad()) {
        artifacts.add(order.artifact());
        if (!settled) {
          coming.add(order.artifact());
        }
      } else if (settled) {
        artifacts.remove(order.artifact());
      } else {
        leaving.add(order.artifact());
      }
    }
    return new EndpointView(
        entry,
        engine,
        artifacts,
        coming,
        leaving,
        sequence.orElse(0),
        busy,
        goal,
        isLost(nowNanos),
        settling(nowNanos),
        crowding);
  }

  private static long age(long sinceNanos, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
  }
}
