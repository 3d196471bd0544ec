package org.magnoliavale.internal.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.queue.Blockage;
import org.magnoliavale.internal.queue.QueueId;
import org.magnoliavale.internal.queue.Rechecks;
import org.magnoliavale.internal.queue.WaitForecast;
import org.magnoliavale.internal.queue.WaitingCall;
import org.magnoliavale.internal.queue.WaitingCalls;

/**
 * The calls of an instance that wait for an endpoint, and the events after which they are sent.
 * Thread-safe.
 *
 * <p>An event is only noted where it happens, since a call's lock may be held there. {@link #serve}
 * acts upon it: it wakes the first calls of the queues that the event concerns, one after the
 * other, as long as they are sent. It is called where no lock of a call is held; the lock of this
 * object is taken within that of a call, never the other way round.
 */
public final class QueuedCalls {
  /** Calls that find no room in one turn, after which the others of their queues aren't tried. */
  private static final int MAXIMUM_PASSED_OVER = 3;

  private final WaitingCalls waiting = new WaitingCalls();
  private final QueueEvents events = new QueueEvents(waiting);
  private final Rechecks rechecks;
  private final Map<Long, Call> calls = new HashMap<>();
  private final Set<WaitingCall> passedOver = new HashSet<>();
  private final QueueLog log = new QueueLog();
  private final AtomicInteger requestedServings = new AtomicInteger();
  private long lastNumber;
  private volatile int size;
  private volatile boolean eventsNoted;

  /** Returns an object without calls; {@code random} spreads the tries of instances. */
  public QueuedCalls(RandomGenerator random) {
    rechecks = new Rechecks(random);
  }

  /** Returns the number of waiting calls. */
  public int size() {
    return size;
  }

  QueueLog log() {
    return log;
  }

  /** Returns a number for a call that begins to wait. */
  synchronized long nextNumber() {
    return ++lastNumber;
  }

  /** Returns whether a new call has to wait, because others wait for room that go before it. */
  synchronized boolean isBehindOthers(WaitingCall call, long nowNanos) {
    return size > 0 && isForRoom(call.queue()) && waiting.ahead(call, nowNanos) > 0;
  }

  private boolean isForRoom(QueueId queue) {
    return waiting.blockage(queue).orElse(null) instanceof Blockage.NoRoom;
  }

  /** Adds a call. */
  synchronized void enter(Call call, WaitingCall entry, long nowNanos) {
    waiting.add(entry, nowNanos);
    calls.put(entry.number(), call);
    size = waiting.size();
    if (!rechecks.isPlanned(entry.queue()) || !isForRoom(entry.queue())) {
      rechecks.soon(entry.queue(), nowNanos);
    }
  }

  /** Notes why the first calls of a queue were not sent. */
  synchronized void block(QueueId queue, Blockage blockage, long nowNanos) {
    waiting.block(queue, blockage, nowNanos);
  }

  /** Removes a call; {@code sent} tells whether an endpoint serves it. */
  synchronized void leave(WaitingCall entry, boolean sent, long nowNanos) {
    boolean removed =
        sent ? waiting.served(entry, passedOver, nowNanos) : waiting.remove(entry, nowNanos);
    if (!removed) {
      return;
    }
    calls.remove(entry.number());
    size = waiting.size();
    if (waiting.size(entry.queue()) == 0) {
      rechecks.forget(entry.queue());
    } else if (sent) {
      rechecks.soon(entry.queue(), nowNanos);
    }
  }

  /** Returns how long a waiting call is expected to wait for room; empty if nothing is known. */
  synchronized Optional<WaitForecast> forecast(WaitingCall entry, long nowNanos) {
    return waiting.forecast(entry, nowNanos);
  }

  /** Notes that an attempt at an endpoint ended. */
  void attemptEnded(DirectoryEntry endpoint) {
    if (size > 0) {
      synchronized (this) {
        events.attemptEnded(endpoint);
        eventsNoted = true;
      }
    }
  }

  /** Notes that an endpoint has told its load. */
  void loadReported(DirectoryEntry endpoint) {
    if (size > 0) {
      synchronized (this) {
        events.loadReported(endpoint);
        eventsNoted = true;
      }
    }
  }

  /** Notes that the available endpoints have changed. */
  synchronized void endpointsChanged() {
    waiting.queues().forEach(events::changed);
    eventsNoted = size > 0;
  }

  /** Notes which queues are to be tried again without an event. */
  synchronized void tick(long nowNanos) {
    for (QueueId queue : rechecks.due(nowNanos)) {
      rechecks.later(queue, nowNanos);
      events.changed(queue);
      eventsNoted = true;
    }
  }

  /**
   * Sends waiting calls after the events that have been noted. If another thread does so, it also
   * acts upon these.
   */
  void serve(LongSupplier nanoClock) {
    if (!eventsNoted || requestedServings.getAndIncrement() > 0) {
      return;
    }
    int seen = 0;
    try {
      do {
        seen = requestedServings.get();
        serveAll(nanoClock);
      } while (!requestedServings.compareAndSet(seen, 0));
      seen = 0;
    } finally {
      if (seen > 0) {
        // A step has thrown; the next event goes on.
        requestedServings.set(0);
      }
    }
  }

  private void serveAll(LongSupplier nanoClock) {
    Optional<QueueTurn> turn = nextTurn();
    while (turn.isPresent()) {
      serve(turn.get(), nanoClock.getAsLong());
      turn = nextTurn();
    }
  }

  private synchronized Optional<QueueTurn> nextTurn() {
    passedOver.clear();
    Optional<QueueTurn> turn = events.next();
    eventsNoted = turn.isPresent();
    return turn;
  }

  private void serve(QueueTurn turn, long nowNanos) {
    int sent = 0;
    boolean goesOn = true;
    while (goesOn && sent < turn.limit()) {
      Optional<WaitingCall> first = first(turn.queues(), nowNanos);
      if (first.isEmpty()) {
        return;
      }
      Call call = callOf(first.get());
      if (call != null) {
        CallSteps.runContained(call, woken -> woken.endpointsChanged(nowNanos));
      }
      if (hasLeft(first.get())) {
        sent++;
      } else {
        goesOn = passOver(first.get());
      }
    }
  }

  private synchronized Optional<WaitingCall> first(List<QueueId> queues, long nowNanos) {
    return waiting.first(queues, passedOver, nowNanos);
  }

  private synchronized Call callOf(WaitingCall entry) {
    return calls.get(entry.number());
  }

  private synchronized boolean hasLeft(WaitingCall entry) {
    return !waiting.contains(entry);
  }

  /** Leaves a call out in this turn; returns whether others may be tried. */
  private synchronized boolean passOver(WaitingCall entry) {
    passedOver.add(entry);
    return passedOver.size() < MAXIMUM_PASSED_OVER
        && (waiting.mayBePassed(entry) || !isForRoom(entry.queue()));
  }
}
