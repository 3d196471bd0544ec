package org.magnoliavale.internal.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LoadedModel;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.identifier.ServiceId;

/** Directory entries for tests. */
public final class TestEntries {
  /** The service that all entries belong to. */
  public static final ServiceId SERVICE = new ServiceId("assistant");

  private static final int SLOTS = 8;

  private TestEntries() {}

  /**
   * Returns an endpoint that holds {@code artifacts}, given as {@code MODEL} or {@code
   * MODEL/ADAPTER}.
   */
  public static DirectoryEntry entry(String id, long heartbeat, String... artifacts) {
    return entry(id, heartbeat, false, Set.of(), artifacts);
  }

  /** Returns an endpoint with no loaded models that has weights on its disk. */
  public static DirectoryEntry entryWithCopies(String id, Set<String> onDisk) {
    return entry(id, 1, false, onDisk);
  }

  /** Returns a draining endpoint. */
  public static DirectoryEntry draining(String id, long heartbeat, String... artifacts) {
    return entry(id, heartbeat, true, Set.of(), artifacts);
  }

  /** Returns the first entry of an endpoint's incarnation; that of the other methods is 1. */
  public static DirectoryEntry incarnation(String id, long startedAtMs, String... artifacts) {
    return withStartTime(entry(id, 1, artifacts), startedAtMs);
  }

  /** Returns the same entry of an endpoint that does not say when it started. */
  public static DirectoryEntry withoutStartTime(DirectoryEntry entry) {
    return withStartTime(entry, 0);
  }

  /** Returns the same entry of an endpoint that runs a number of requests at once. */
  public static DirectoryEntry withSlots(DirectoryEntry entry, int slots) {
    return new DirectoryEntry(
        entry.identity(),
        entry.service(),
        entry.softwareVersion(),
        entry.address(),
        entry.dataCentre(),
        entry.draining(),
        slots,
        entry.heartbeat(),
        entry.models(),
        entry.inMemory(),
        entry.onDisk());
  }

  /** Returns the same entry of an endpoint that runs a version of its software. */
  public static DirectoryEntry withVersion(DirectoryEntry entry, String version) {
    return new DirectoryEntry(
        entry.identity(),
        entry.service(),
        new SoftwareVersion(version),
        entry.address(),
        entry.dataCentre(),
        entry.draining(),
        entry.slots(),
        entry.heartbeat(),
        entry.models(),
        entry.inMemory(),
        entry.onDisk());
  }

  private static DirectoryEntry withStartTime(DirectoryEntry entry, long startedAtMs) {
    return new DirectoryEntry(
        new EndpointIdentity(entry.identity().id(), startedAtMs),
        entry.service(),
        entry.softwareVersion(),
        entry.address(),
        entry.dataCentre(),
        entry.draining(),
        entry.slots(),
        entry.heartbeat(),
        entry.models(),
        entry.inMemory(),
        entry.onDisk());
  }

  private static DirectoryEntry entry(
      String id, long heartbeat, boolean draining, Set<String> onDisk, String... artifacts) {
    List<LoadedModel> models = new ArrayList<>();
    for (String text : artifacts) {
      Artifact artifact = Artifact.parse(text);
      if (artifact.adapter().isEmpty()) {
        models.add(new LoadedModel(artifact.model(), adapters(artifact.model(), artifacts)));
      }
    }
    return new DirectoryEntry(
        new EndpointIdentity(id, 1),
        SERVICE,
        new InetSocketAddress("127.0.0.1", 1),
        "east",
        draining,
        SLOTS,
        heartbeat,
        DirectoryEntry.byName(models),
        Set.of(),
        onDisk);
  }

  private static Set<String> adapters(String model, String... artifacts) {
    Set<String> adapters = new java.util.HashSet<>();
    for (String text : artifacts) {
      Artifact artifact = Artifact.parse(text);
      if (artifact.model().equals(model)) {
        artifact.adapter().ifPresent(adapters::add);
      }
    }
    return adapters;
  }
}
