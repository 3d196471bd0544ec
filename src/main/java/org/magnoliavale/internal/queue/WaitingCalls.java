package org.magnoliavale.internal.queue;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * The calls of an instance that wait for an endpoint: one queue for each service and artifact.
 *
 * <pre>{@code
 * waiting.add(call, now);
 * waiting.block(call.queue(), new Blockage.NoRoom(now + timeToRoom), now);
 * Optional<WaitForecast> forecast = waiting.forecast(call, now);
 * ...
 * Optional<WaitingCall> next = waiting.first(queues, Set.of(), now);
 * waiting.served(next.get(), Set.of(), now);
 * }</pre>
 *
 * <p>A queue is ordered by priority, then by whether a call can still be served in time, then
 * fairly between tenants by tokens, then by when they are due. A priority that is served far less
 * often than all goes first. Each operation takes time in proportion to the logarithm of the calls
 * and to the tenants that wait in the queue.
 */
public final class WaitingCalls {
  private record Service(TenantShares tenants, ServedShares<Integer> priorities) {}

  private final Map<QueueId, OrderedCalls> queues = new HashMap<>();
  private final Map<ServiceId, Service> services = new HashMap<>();
  private int size;

  /** Adds a call, at the place that is due to it. */
  public void add(WaitingCall call, long nowNanos) {
    queues.computeIfAbsent(call.queue(), ignored -> new OrderedCalls()).add(call, nowNanos);
    Service service = service(call.queue(), nowNanos);
    service.tenants().recordArrived(call, nowNanos);
    service.priorities().recordArrived(call.priority(), nowNanos);
    size++;
  }

  private Service service(QueueId id, long nowNanos) {
    return services.computeIfAbsent(
        id.service(),
        ignored -> new Service(new TenantShares(nowNanos), new ServedShares<>(nowNanos)));
  }

  /** Returns whether a call waits. */
  public boolean contains(WaitingCall call) {
    OrderedCalls queue = queues.get(call.queue());
    return queue != null && queue.contains(call);
  }

  /** Removes a call that is not served; returns whether it was waiting. */
  public boolean remove(WaitingCall call, long nowNanos) {
    OrderedCalls queue = queues.get(call.queue());
    return queue != null && removed(call, queue.remove(call, nowNanos));
  }

  /**
   * Removes a call that an endpoint serves; returns whether it was waiting.
   *
   * @param passedOver calls that would have gone first, but found no room for their size
   */
  public boolean served(WaitingCall call, Set<WaitingCall> passedOver, long nowNanos) {
    OrderedCalls queue = queues.get(call.queue());
    if (queue == null || !removed(call, queue.removeServed(call, passedOver, nowNanos))) {
      return false;
    }
    Service service = service(call.queue(), nowNanos);
    service.tenants().recordServed(call, nowNanos);
    service.priorities().recordServed(call.priority(), nowNanos);
    return true;
  }

  private boolean removed(WaitingCall call, boolean removed) {
    if (removed) {
      size--;
      if (queues.get(call.queue()).size() == 0) {
        queues.remove(call.queue());
      }
    }
    return removed;
  }

  /**
   * Returns the call to be served first of some queues that the same endpoint can serve.
   *
   * @param passedOver calls that are left out, because they have just found no room
   */
  public Optional<WaitingCall> first(
      Collection<QueueId> ids, Set<WaitingCall> passedOver, long nowNanos) {
    Candidate best = null;
    for (QueueId id : ids) {
      Optional<Candidate> candidate = first(id, passedOver, nowNanos);
      if (candidate.isPresent() && (best == null || candidate.get().isBefore(best))) {
        best = candidate.get();
      }
    }
    return Optional.ofNullable(best).map(Candidate::call);
  }

  private Optional<Candidate> first(QueueId id, Set<WaitingCall> passedOver, long nowNanos) {
    OrderedCalls queue = queues.get(id);
    if (queue == null) {
      return Optional.empty();
    }
    Service service = service(id, nowNanos);
    return queue.first(service.tenants(), service.priorities(), passedOver, nowNanos);
  }

  /**
   * Returns whether calls behind a call may be served while it finds no room. Once that has
   * happened often enough, the queue waits until there is room for this call.
   */
  public boolean mayBePassed(WaitingCall call) {
    OrderedCalls queue = queues.get(call.queue());
    return queue == null || queue.mayBePassed(call);
  }

  /** Notes why a queue's first call is not served now; without effect on an empty queue. */
  public void block(QueueId id, Blockage blockage, long nowNanos) {
    OrderedCalls queue = queues.get(id);
    if (queue != null) {
      queue.block(blockage, nowNanos);
    }
  }

  /** Returns why a queue's first call was not served when that was last tried. */
  public Optional<Blockage> blockage(QueueId id) {
    OrderedCalls queue = queues.get(id);
    return queue == null ? Optional.empty() : queue.blockage();
  }

  /** Returns about how many calls are served before a call, which may be one that is not added. */
  public int ahead(WaitingCall call, long nowNanos) {
    OrderedCalls queue = queues.get(call.queue());
    return queue == null ? 0 : queue.ahead(call, nowNanos);
  }

  /**
   * Returns how long a waiting call still waits, as far as it can be told: the time to the first
   * room, and that in which the calls before it are served. Empty if nothing is known.
   */
  public Optional<WaitForecast> forecast(WaitingCall call, long nowNanos) {
    OrderedCalls queue = queues.get(call.queue());
    if (queue == null) {
      return Optional.empty();
    }
    Optional<Long> toRoom = queue.nanosToRoom(nowNanos);
    if (toRoom.isEmpty()) {
      return Optional.empty();
    }
    int ahead = queue.ahead(call, nowNanos);
    long toServe = queue.nanosToServe(ahead, call.isLate(nowNanos), nowNanos);
    Duration wait = Duration.ofNanos(toRoom.get()).plusNanos(toServe);
    return Optional.of(new WaitForecast(wait, ahead, queue.size()));
  }

  /** Returns the queues in which calls wait. */
  public List<QueueId> queues() {
    return List.copyOf(queues.keySet());
  }

  /** Returns the number of calls in a queue. */
  public int size(QueueId id) {
    OrderedCalls queue = queues.get(id);
    return queue == null ? 0 : queue.size();
  }

  /** Returns the number of calls in all queues. */
  public int size() {
    return size;
  }
}
