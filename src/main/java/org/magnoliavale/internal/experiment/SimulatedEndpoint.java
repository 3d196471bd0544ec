package org.magnoliavale.internal.experiment;

import java.util.HashMap;
import java.util.Map;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.placement.EndpointSnapshot;
import org.magnoliavale.internal.placement.EndpointSnapshot.Occupancy;
import org.magnoliavale.internal.placement.EvictionProtection;

/** Simulated endpoint: the artifacts in its memory and the time at which each becomes ready. */
final class SimulatedEndpoint {
  private record Resident(long bytes, double readyAt) {}

  private final Endpoint endpoint;
  private final Map<ArtifactId, Resident> residents = new HashMap<>();
  private final EvictionProtection protection = new EvictionProtection();
  private boolean failed;

  SimulatedEndpoint(Endpoint endpoint) {
    this.endpoint = endpoint;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  void load(ArtifactId artifact, long bytes, double readyAt) {
    if (bytes > freeBytes()) {
      throw new IllegalStateException("artifact exceeds the free memory of " + endpoint.id());
    }
    residents.put(artifact, new Resident(bytes, readyAt));
  }

  void unload(ArtifactId artifact) {
    residents.remove(artifact);
  }

  void fail() {
    failed = true;
    residents.clear();
  }

  void recover() {
    failed = false;
  }

  boolean isReady(ArtifactId artifact, double now) {
    Resident resident = residents.get(artifact);
    return resident != null && resident.readyAt() <= now;
  }

  EndpointSnapshot snapshot(double now) {
    Map<ArtifactId, Occupancy> artifacts = new HashMap<>();
    residents.forEach(
        (artifact, resident) ->
            artifacts.put(
                artifact,
                resident.readyAt() <= now
                    ? protection.occupancyOf(endpoint.id(), artifact, (long) (now * 1_000))
                    : Occupancy.LOADING));
    protection.retain(endpoint.id(), artifacts.keySet());
    return new EndpointSnapshot(endpoint, !failed, freeBytes(), artifacts);
  }

  private long freeBytes() {
    return endpoint.artifactCapacityBytes()
        - residents.values().stream().mapToLong(Resident::bytes).sum();
  }
}
