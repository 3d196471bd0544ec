package org.magnoliavale.internal.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.magnoliavale.internal.engine.EngineOrder;
import org.magnoliavale.internal.engine.ResidentArtifact;
import org.magnoliavale.internal.engine.SettledTransmission;

/**
 * The memory of an engine stand-in. It does as it is told, even beyond its capacity, and remembers
 * whether that ever happened.
 */
final class EngineMemory {
  /** What came of an order. */
  enum Verdict {
    ACCEPTED,
    STALE_FENCE
  }

  private static final int REMEMBERED_TRANSMISSIONS = 512;

  private final long capacityBytes;
  private final boolean checksFencing;
  private final Map<String, ResidentArtifact> residents = new LinkedHashMap<>();
  private final Map<String, String> transmissions =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > REMEMBERED_TRANSMISSIONS;
        }
      };
  private String incarnation = UUID.randomUUID().toString();
  private long highestFence;
  private boolean everOvercommitted;

  EngineMemory(long capacityBytes, boolean checksFencing) {
    this.capacityBytes = capacityBytes;
    this.checksFencing = checksFencing;
  }

  /** Takes an order. A load stays unfinished until {@link #finishLoad}. */
  synchronized Verdict take(EngineOrder order) {
    if (checksFencing && order.fence() < highestFence) {
      transmissions.put(order.transmission(), "refused");
      return Verdict.STALE_FENCE;
    }
    highestFence = Math.max(highestFence, order.fence());
    if (order.kind().equals(EngineOrder.LOAD)) {
      beginLoad(order);
    } else {
      residents.remove(order.artifact());
      transmissions.put(order.transmission(), "done");
    }
    return Verdict.ACCEPTED;
  }

  private void beginLoad(EngineOrder order) {
    if (residents.containsKey(order.artifact())) {
      transmissions.put(order.transmission(), "done");
      return;
    }
    residents.put(order.artifact(), new ResidentArtifact(order.artifact(), order.bytes(), false));
    transmissions.put(order.transmission(), "running");
    long occupied = residents.values().stream().mapToLong(ResidentArtifact::bytes).sum();
    everOvercommitted |= occupied > capacityBytes;
  }

  /** Finishes a load, unless the artifact was removed or the engine restarted meanwhile. */
  synchronized void finishLoad(EngineOrder order, String startedIn) {
    if (!incarnation.equals(startedIn)) {
      return;
    }
    transmissions.put(order.transmission(), "done");
    residents.computeIfPresent(
        order.artifact(), (name, resident) -> new ResidentArtifact(name, resident.bytes(), true));
  }

  /** Forgets everything, as a restart does. The fencing number is forgotten too. */
  synchronized void restart() {
    residents.clear();
    transmissions.clear();
    highestFence = 0;
    incarnation = UUID.randomUUID().toString();
  }

  synchronized boolean isReady(String artifact) {
    ResidentArtifact resident = residents.get(artifact);
    return resident != null && resident.ready();
  }

  synchronized boolean isLoading(String artifact) {
    ResidentArtifact resident = residents.get(artifact);
    return resident != null && !resident.ready();
  }

  synchronized List<ResidentArtifact> residents() {
    return List.copyOf(residents.values());
  }

  synchronized List<SettledTransmission> transmissions() {
    List<SettledTransmission> list = new ArrayList<>();
    transmissions.forEach((id, outcome) -> list.add(new SettledTransmission(id, outcome)));
    return list;
  }

  synchronized String incarnation() {
    return incarnation;
  }

  synchronized long highestFence() {
    return highestFence;
  }

  synchronized boolean everOvercommitted() {
    return everOvercommitted;
  }
}
