package org.magnoliavale.internal.residency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.LoadedModel;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.residency.EndpointCommand.Operation;
import org.magnoliavale.internal.route.EngineSpecification;

/**
 * An engine on a virtual clock that executes commands as the platform's workers do: models one at a
 * time, adapters beside each other; an unload waits for requests in progress. Its entry is
 * rewritten by heartbeats that find something changed, and when a model was loaded or unloaded. The
 * weights of all models are on its disk.
 */
final class SimulatedEngine {
  private static final int HEARTBEAT_INTERVAL_MS = 1_200;
  private static final int MODEL_LOAD_MS = 4_000;
  private static final int LONGEST_ADAPTER_LOAD_MS = 20;
  private static final int LONGEST_REQUEST_MS = 2_000;
  private static final double IN_USE_SHARE = 0.2;
  private static final int REPORTS_KEPT_MS = 1_000;

  private record Change(Operation operation, Artifact artifact, long endMs) {}

  private record TimedReport(long ms, EndpointReport report) {}

  private final EndpointIdentity identity;
  private final EngineSpecification specification;
  private final Random random;
  private final Set<Artifact> held = new HashSet<>();
  private final List<Change> adapterLoads = new ArrayList<>();
  private final Deque<TimedReport> reports = new ArrayDeque<>();
  private Optional<Change> command = Optional.empty();
  private long sequence;
  private long fencingToken;
  private long heartbeat;
  private long nextHeartbeatMs;
  private DirectoryEntry entry;
  private boolean overloaded;

  SimulatedEngine(
      EndpointIdentity identity, EngineSpecification specification, Random random, long nowMs) {
    this.identity = identity;
    this.specification = specification;
    this.random = random;
    writeEntry();
    nextHeartbeatMs = nowMs + HEARTBEAT_INTERVAL_MS;
  }

  EndpointIdentity identity() {
    return identity;
  }

  DirectoryEntry entry() {
    return entry;
  }

  /** Returns whether a load was accepted for which there was no room. */
  boolean isOverloaded() {
    return overloaded;
  }

  void advance(long nowMs) {
    adapterLoads.removeIf(load -> load.endMs() <= nowMs && held.add(load.artifact()));
    if (command.isPresent() && command.get().endMs() <= nowMs) {
      complete(command.get());
      command = Optional.empty();
    }
    if (nowMs >= nextHeartbeatMs) {
      nextHeartbeatMs += HEARTBEAT_INTERVAL_MS;
      heartbeat++;
      if (!EndpointView.artifactsOf(entry.models()).equals(held)) {
        entry = currentEntry();
      }
    }
    reports.addLast(new TimedReport(nowMs, currentReport()));
    while (reports.getFirst().ms() < nowMs - REPORTS_KEPT_MS) {
      reports.removeFirst();
    }
  }

  private void complete(Change change) {
    Artifact artifact = change.artifact();
    if (change.operation() == Operation.LOAD) {
      held.add(artifact);
    } else {
      held.removeIf(other -> other.equals(artifact) || other.baseModel().equals(artifact));
    }
    if (artifact.adapter().isEmpty()) {
      writeEntry();
    }
  }

  private void writeEntry() {
    heartbeat++;
    entry = currentEntry();
  }

  private DirectoryEntry currentEntry() {
    return new DirectoryEntry(
        identity,
        TestEntries.SERVICE,
        TestEntries.entry(identity.id(), 1).address(),
        "east",
        false,
        specification.slots(),
        heartbeat,
        models(),
        Set.of(),
        specification.models().keySet());
  }

  private Map<String, LoadedModel> models() {
    Map<String, LoadedModel> models = new HashMap<>();
    for (Artifact artifact : held) {
      models.computeIfAbsent(
          artifact.model(), name -> new LoadedModel(name, adaptersOf(artifact.baseModel())));
    }
    return models;
  }

  private Set<String> adaptersOf(Artifact model) {
    Set<String> adapters = new HashSet<>();
    held.stream()
        .filter(artifact -> artifact.baseModel().equals(model))
        .forEach(artifact -> artifact.adapter().ifPresent(adapters::add));
    return adapters;
  }

  private EndpointReport currentReport() {
    Set<String> loading = new HashSet<>();
    adapterLoads.forEach(load -> loading.add(load.artifact().toString()));
    boolean busy = command.filter(change -> change.artifact().adapter().isEmpty()).isPresent();
    return new EndpointReport(models(), busy, sequence, identity.startedAtMs(), loading);
  }

  /** Returns what the engine was at {@code ms} or, if it is younger, at its start. */
  EndpointReport reportOf(long ms) {
    EndpointReport latest = reports.getFirst().report();
    for (TimedReport report : reports) {
      if (report.ms() <= ms) {
        latest = report.report();
      }
    }
    return latest;
  }

  /** Executes a command that arrives now. */
  EndpointCommandResult execute(EndpointCommand received, long nowMs) {
    if (received.fencingToken() < fencingToken) {
      return EndpointCommandResult.FENCED;
    }
    fencingToken = received.fencingToken();
    if (command.isPresent() || received.expectedSequence() != sequence) {
      return EndpointCommandResult.CONFLICT;
    }
    Artifact artifact = received.artifact();
    boolean load = received.operation() == Operation.LOAD;
    if (load == holdsOrLoads(artifact)) {
      return EndpointCommandResult.DONE;
    }
    sequence++;
    return load ? load(artifact, nowMs) : unload(artifact, nowMs);
  }

  private boolean holdsOrLoads(Artifact artifact) {
    return held.contains(artifact)
        || adapterLoads.stream().anyMatch(load -> load.artifact().equals(artifact));
  }

  private EndpointCommandResult load(Artifact artifact, long nowMs) {
    overloaded |= !hasRoomFor(artifact);
    if (artifact.adapter().isPresent()) {
      long endMs = nowMs + 1 + random.nextInt(LONGEST_ADAPTER_LOAD_MS);
      adapterLoads.add(new Change(Operation.LOAD, artifact, endMs));
    } else {
      command = Optional.of(new Change(Operation.LOAD, artifact, nowMs + MODEL_LOAD_MS));
    }
    return EndpointCommandResult.ACCEPTED;
  }

  private boolean hasRoomFor(Artifact artifact) {
    Set<Artifact> all = new HashSet<>(held);
    adapterLoads.forEach(load -> all.add(load.artifact()));
    all.add(artifact);
    double usedMb =
        all.stream().mapToDouble(each -> EndpointView.sizeMb(specification, each)).sum();
    long adapters = all.stream().filter(each -> each.adapter().isPresent()).count();
    return usedMb <= specification.weightsMb() && adapters <= specification.adapterSlots();
  }

  private EndpointCommandResult unload(Artifact artifact, long nowMs) {
    boolean inUse = random.nextDouble() < IN_USE_SHARE;
    if (artifact.adapter().isPresent() && !inUse) {
      adapterLoads.removeIf(load -> load.artifact().equals(artifact));
      held.remove(artifact);
      return EndpointCommandResult.DONE;
    }
    long endMs = nowMs + (inUse ? random.nextInt(LONGEST_REQUEST_MS) : 0);
    command = Optional.of(new Change(Operation.UNLOAD, artifact, endMs));
    return EndpointCommandResult.ACCEPTED;
  }
}
