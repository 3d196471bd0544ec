package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
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
 * entry's sequence has passed it.
 */
final class EndpointLedger {
  /** Time after which an accepted adapter load is taken as done. */
  private static final long ADAPTER_LOAD_MS = 30;

  /** Time after which an order that got no answer can take effect no more. */
  private static final long LATENESS_MS = 13_000;

  /** Time after which an order that got no answer is sent again with the same sequence. */
  private static final long RESEND_MS = 400;

  private final List<OpenOrder> open = new ArrayList<>();
  private DirectoryEntry entry;
  private long sequence;

  EndpointLedger(DirectoryEntry entry) {
    this.entry = entry;
    this.sequence = entry.sequence();
  }

  /** Takes in the endpoint's entry and settles the orders that it shows. */
  void update(DirectoryEntry newer, long nowNanos) {
    entry = newer;
    sequence = Math.max(sequence, newer.sequence());
    Set<Artifact> held = EndpointView.held(newer);
    Iterator<OpenOrder> orders = open.iterator();
    while (orders.hasNext()) {
      OpenOrder order = orders.next();
      long expected = order.order().expectedSequence();
      boolean passed = newer.sequence() > expected;
      boolean shows = held.contains(order.artifact()) == order.isLoad();
      boolean late = milliseconds(nowNanos - order.sentNanos()) > LATENESS_MS;
      // An entry whose sequence has passed an uncertain order without its effect shows that
      // another order was accepted in its place, so the uncertain one can take effect no more.
      boolean overtaken = passed && !order.certain() && newer.sequence() > expected + 1;
      if (passed && shows || overtaken || late) {
        orders.remove();
      }
    }
  }

  void opened(EndpointOrder order, long nowNanos) {
    open.add(new OpenOrder(order, nowNanos, false));
  }

  void accepted(EndpointOrder order) {
    sequence = Math.max(sequence, order.expectedSequence() + 1);
    open.replaceAll(known -> known.order().equals(order) ? known.accepted() : known);
  }

  void sentAgain(EndpointOrder order, long nowNanos) {
    open.replaceAll(known -> known.order().equals(order) ? known.sentAgain(nowNanos) : known);
  }

  void closed(EndpointOrder order) {
    open.removeIf(known -> known.order().equals(order));
  }

  /** Takes the sequence that the endpoint reported after it refused an order over it. */
  void reported(long reportedSequence) {
    sequence = reportedSequence;
  }

  /** Returns orders without an answer that are due to be sent again. */
  List<EndpointOrder> unanswered(long nowNanos) {
    List<EndpointOrder> due = new ArrayList<>();
    for (OpenOrder order : open) {
      if (!order.certain() && milliseconds(nowNanos - order.sentNanos()) > RESEND_MS) {
        due.add(order.order());
      }
    }
    return due;
  }

  EndpointView view(EngineSpecification engine, long nowNanos) {
    Set<Artifact> artifacts = new HashSet<>(EndpointView.held(entry));
    Set<Artifact> coming = new HashSet<>();
    Set<Artifact> leaving = new HashSet<>();
    boolean busy = false;
    for (OpenOrder order : open) {
      boolean settled =
          order.certain()
              && !order.isModel()
              && milliseconds(nowNanos - order.sentNanos()) > ADAPTER_LOAD_MS;
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
    return new EndpointView(entry, engine, artifacts, coming, leaving, sequence, busy);
  }

  private static long milliseconds(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
