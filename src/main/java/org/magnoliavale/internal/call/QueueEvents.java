package org.magnoliavale.internal.call;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LoadedModel;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.queue.Blockage;
import org.magnoliavale.internal.queue.QueueId;
import org.magnoliavale.internal.queue.WaitingCalls;

/**
 * The events after which waiting calls may be sent, until they have been acted upon. Events of the
 * same kind are one. Guarded by {@link QueuedCalls}.
 *
 * <p>The room that an attempt leaves is known here first, so it is filled at once. Other events are
 * seen by all instances at the same time; of a queue that waits for room, each instance then sends
 * only a part, which is the same share of the calls that wait everywhere.
 */
final class QueueEvents {
  /** Part of a queue that may be sent after an event that other instances see as well. */
  private static final double COMMON_EVENT_SHARE = 0.25;

  /** Calls that may be sent beside the one that takes the place of an attempt that ended. */
  private static final int FURTHER_CALLS = 1;

  private record Room(DirectoryEntry endpoint, int attemptsEnded) {}

  private final WaitingCalls waiting;
  private final Map<EndpointIdentity, Room> rooms = new LinkedHashMap<>();
  private final Set<QueueId> changed = new LinkedHashSet<>();

  QueueEvents(WaitingCalls waiting) {
    this.waiting = waiting;
  }

  /** Notes that an attempt at an endpoint ended. */
  void attemptEnded(DirectoryEntry endpoint) {
    rooms.merge(
        endpoint.identity(),
        new Room(endpoint, 1),
        (old, one) -> new Room(endpoint, old.attemptsEnded() + 1));
  }

  /** Notes that an endpoint has told its load. */
  void loadReported(DirectoryEntry endpoint) {
    rooms.putIfAbsent(endpoint.identity(), new Room(endpoint, 0));
  }

  /** Notes that endpoints that can serve a queue have changed, or may have. */
  void changed(QueueId queue) {
    changed.add(queue);
  }

  /** Returns what is to be done next, and takes it as done. */
  Optional<QueueTurn> next() {
    Iterator<Room> room = rooms.values().iterator();
    if (room.hasNext()) {
      Room next = room.next();
      room.remove();
      return Optional.of(
          new QueueTurn(queuesOf(next.endpoint()), next.attemptsEnded() + FURTHER_CALLS));
    }
    Iterator<QueueId> queue = changed.iterator();
    if (queue.hasNext()) {
      QueueId next = queue.next();
      queue.remove();
      return Optional.of(new QueueTurn(List.of(next), limitOf(next)));
    }
    return Optional.empty();
  }

  private int limitOf(QueueId queue) {
    boolean forRoom = waiting.blockage(queue).orElse(null) instanceof Blockage.NoRoom;
    int size = waiting.size(queue);
    return forRoom ? (int) Math.ceil(size * COMMON_EVENT_SHARE) : size;
  }

  /** Returns the queues with calls for what an endpoint holds. */
  private List<QueueId> queuesOf(DirectoryEntry endpoint) {
    List<QueueId> queues = new ArrayList<>();
    addWaiting(endpoint, Optional.empty(), queues);
    for (LoadedModel model : endpoint.models().values()) {
      addWaiting(endpoint, Optional.of(new Artifact(model.name(), Optional.empty())), queues);
      for (String adapter : model.adapters()) {
        addWaiting(endpoint, Optional.of(new Artifact(model.name(), Optional.of(adapter))), queues);
      }
    }
    return queues;
  }

  /** Adds the queues of calls that any version may serve, and of those bound to this one's. */
  private void addWaiting(
      DirectoryEntry endpoint, Optional<Artifact> artifact, List<QueueId> queues) {
    addWaiting(new QueueId(endpoint.service(), artifact), queues);
    addWaiting(
        new QueueId(endpoint.service(), artifact, Optional.of(endpoint.softwareVersion())), queues);
  }

  private void addWaiting(QueueId queue, List<QueueId> queues) {
    if (waiting.size(queue) > 0) {
      queues.add(queue);
    }
  }
}
