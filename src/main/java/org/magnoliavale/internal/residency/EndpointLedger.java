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
 * What the holder of orders knows of one incarnation of an endpoint beyond its entry. Not
 * thread-safe.
 *
 * <p>Each order names the sequence that it expects, so of an order and its copies at most one takes
 * effect, and none once another order was accepted. Memory counts for each open order until the
 * entry shows its effect or it can take effect no more.
 */
final class EndpointLedger {
  /** Time after which an accepted adapter load is taken as done. */
  static final long ADAPTER_LOAD_MS = 25;

  /** Time after which an order that got no answer can take effect no more. */
  private static final long LATENESS_MS = 13_000;

  /** Time after which an order that got no answer is sent again with the same sequence. */
  private static final long RESEND_MS = 400;

  /** Time by which a report lags behind at most. */
  private static final long REPORT_LAG_MS = 500;

  private static final long REPORT_INTERVAL_MS = 250;

  /** Time after which room that was made for a model is given up. */
  private static final long GOAL_MS = 15_000;

  /** Heartbeats of which the last was certainly written after an order; one may be on its way. */
  private static final long HEARTBEATS_AFTER = 2;

  /** Time for which an endpoint that can't be reached gets no orders and counts as lost. */
  private static final long UNREACHABLE_MS = 1_500;

  /** Time after its load in which a model is not given up, so that it serves what it came for. */
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

  /** Returns the ledger of an endpoint that has just appeared; nobody else gives it orders. */
  static EndpointLedger ofNewEndpoint(DirectoryEntry entry, long nowNanos) {
    return new EndpointLedger(entry, nowNanos - TimeUnit.MILLISECONDS.toNanos(REPORT_INTERVAL_MS));
  }

  /** Returns the ledger of an endpoint to which another holder may just have given an order. */
  static EndpointLedger ofKnownEndpoint(DirectoryEntry entry, long nowNanos) {
    EndpointLedger ledger = new EndpointLedger(entry, nowNanos);
    ledger.needReport(nowNanos);
    return ledger;
  }

  /**
   * Tells whether the endpoint is due to be asked for a report. It gets no orders until it has
   * reported that it is not busy: what it is doing may be another holder's order.
   */
  boolean isReportDue(long nowNanos) {
    return reportNeeded && age(askNanos, nowNanos) >= REPORT_INTERVAL_MS;
  }

  /** Notes that a report is asked for. */
  void asked(long nowNanos) {
    askNanos = nowNanos;
  }

  /** Has the endpoint report before its next order, late enough to show what it does now. */
  void needReport(long nowNanos) {
    reportNeeded = true;
    askNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(REPORT_LAG_MS - REPORT_INTERVAL_MS);
  }

  /** Takes in the endpoint's entry and settles the orders that it shows. */
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

  /** Tells whether the entry was certainly written after the order was accepted. */
  private boolean isAfter(OpenOrder order) {
    return order.isModel() || entry.heartbeat() >= order.heartbeat() + HEARTBEATS_AFTER;
  }

  void opened(EndpointOrder order, long nowNanos) {
    open.add(new OpenOrder(order, nowNanos, false, 0, 0));
  }

  /** Notes that the endpoint carries an order out; older ones can take effect no more. */
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
    // What was ordered before with the same artifact is overtaken by this.
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
   * Notes that the endpoint is busy or has accepted another order. One that was sent again may have
   * been accepted itself, and counts until it can take effect no more.
   */
  void conflict(EndpointOrder order, long nowNanos) {
    if (!wasSentAgain(order)) {
      closed(order);
    }
    needReport(nowNanos);
  }

  /** Notes that an order holds already. An adapter is dropped at once, which counts as an order. */
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

  /** Notes that the endpoint takes no connection. */
  void unreachable(long nowNanos) {
    unreachable = true;
    unreachableNanos = nowNanos;
  }

  /** Notes that another incarnation answers at the address. */
  void replaced() {
    replaced = true;
  }

  private boolean isLost(long nowNanos) {
    return replaced || unreachable && age(unreachableNanos, nowNanos) < UNREACHABLE_MS;
  }

  /** Takes in a report. What it shows counts until the entry was certainly written after it. */
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
    // Nobody else gives orders, so a sequence that has passed an order shows that it was accepted.
    for (OpenOrder order : List.copyOf(open)) {
      if (!order.certain() && report.sequence() > order.order().expectedSequence()) {
        accepted(order.order(), nowNanos);
      }
    }
  }

  /** Makes room for a model from now on. */
  void setGoal(Artifact model, long nowNanos) {
    goal = Optional.of(model);
    goalNanos = nowNanos;
  }

  void clearGoal() {
    goal = Optional.empty();
  }

  /** Returns orders without an answer that are due to be sent again. */
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
