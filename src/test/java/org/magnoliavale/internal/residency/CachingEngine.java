package org.magnoliavale.internal.residency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.residency.EndpointCommand.Operation;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;

/**
 * An engine on a virtual clock that keeps copies of weights in memory and on disk, and runs calls
 * for the models that it holds.
 */
final class CachingEngine {
  private static final int COPIES_IN_MEMORY = 2;
  private static final int COPIES_ON_DISK = 6;

  /** Time until the directory shows a change. */
  private static final int VISIBLE_AFTER_MS = 300;

  private static final int MINIMUM_RESIDENCY_MS = 5_000;

  private record Change(Operation operation, String model, int endMs) {}

  private final String id;
  private final EngineSpecification specification;
  private final Random random;
  private final Set<String> models = new LinkedHashSet<>();
  private final Map<String, Integer> loadedMs = new HashMap<>();
  private final LinkedHashSet<String> memory = new LinkedHashSet<>();
  private final LinkedHashSet<String> disk = new LinkedHashSet<>();
  private final List<Integer> callEndsMs = new ArrayList<>();
  private Optional<Change> change = Optional.empty();
  private Optional<Artifact> pendingModel = Optional.empty();
  private long sequence;

  CachingEngine(String id, EngineSpecification specification, Random random) {
    this.id = id;
    this.specification = specification;
    this.random = random;
  }

  String id() {
    return id;
  }

  int runningCalls() {
    return callEndsMs.size();
  }

  /** Runs a call from now on. */
  void run(int lengthMs, int nowMs) {
    callEndsMs.add(nowMs + lengthMs);
  }

  /** Holds a model from the start. */
  void hold(String model) {
    models.add(model);
    keepCopy(model);
  }

  /** Loses what it holds in memory, and its copies on disk too if it is a new machine. */
  void restart(boolean newMachine) {
    models.clear();
    loadedMs.clear();
    memory.clear();
    callEndsMs.clear();
    change = Optional.empty();
    pendingModel = Optional.empty();
    sequence = 0;
    if (newMachine) {
      disk.clear();
    }
  }

  /** Ends the calls and the command that are due. */
  void advance(int nowMs) {
    callEndsMs.removeIf(end -> end <= nowMs);
    finishChange(nowMs);
  }

  /** Returns whether calls for a model can be run. */
  boolean isReady(String model) {
    return models.contains(model)
        && change
            .filter(current -> current.operation() == Operation.UNLOAD)
            .filter(current -> current.model().equals(model))
            .isEmpty();
  }

  private void keepCopy(String model) {
    touch(memory, model, COPIES_IN_MEMORY);
    touch(disk, model, COPIES_ON_DISK);
  }

  private static void touch(LinkedHashSet<String> copies, String model, int most) {
    copies.remove(model);
    copies.addLast(model);
    if (copies.size() > most) {
      copies.removeFirst();
    }
  }

  private void finishChange(int nowMs) {
    if (change.isEmpty() || change.get().endMs() > nowMs) {
      return;
    }
    Change done = change.get();
    if (done.operation() == Operation.LOAD) {
      models.add(done.model());
      loadedMs.put(done.model(), nowMs);
      keepCopy(done.model());
    } else {
      models.remove(done.model());
    }
    change = Optional.empty();
  }

  /** Starts a command; an unload waits for at most the length of a call. */
  void execute(ResidencyPlanner.Step step, int longestCallMs, int nowMs) {
    String model = step.artifact().model();
    int lengthMs =
        step.operation() == Operation.LOAD ? loadMs(model) : random.nextInt(longestCallMs);
    change = Optional.of(new Change(step.operation(), model, nowMs + lengthMs + VISIBLE_AFTER_MS));
    sequence++;
    pendingModel = step.pendingModel();
  }

  private int loadMs(String model) {
    ModelSpecification known = specification.model(model).orElseThrow();
    if (memory.contains(model)) {
      return (int) known.memoryLoadTime().toMillis();
    }
    if (disk.contains(model)) {
      return (int) known.diskLoadTime().toMillis();
    }
    return (int) known.storeLoadTime().toMillis();
  }

  EndpointView view(int nowMs) {
    Set<Artifact> artifacts = new HashSet<>();
    models.forEach(model -> addWithAdapters(model, artifacts));
    Set<Artifact> loading = new HashSet<>();
    Set<Artifact> unloading = new HashSet<>();
    change.ifPresent(
        current ->
            (current.operation() == Operation.LOAD ? loading : unloading)
                .add(Artifact.parse(current.model())));
    artifacts.addAll(loading);
    Set<Artifact> recent = new HashSet<>();
    loadedMs.forEach(
        (model, ms) -> {
          if (nowMs - ms < MINIMUM_RESIDENCY_MS) {
            recent.add(Artifact.parse(model));
          }
        });
    double saturation =
        Math.clamp((double) callEndsMs.size() / specification.slots() * 2 - 1, 0, 1);
    return new EndpointView(
        entry(),
        specification,
        artifacts,
        loading,
        unloading,
        sequence,
        change.isPresent(),
        pendingModel,
        false,
        recent,
        saturation);
  }

  private DirectoryEntry entry() {
    return new DirectoryEntry(
        new EndpointIdentity(id, 1),
        TestEntries.SERVICE,
        TestEntries.entry(id, 1).address(),
        "east",
        false,
        specification.slots(),
        1,
        Map.of(),
        memory,
        disk);
  }

  private void addWithAdapters(String model, Set<Artifact> artifacts) {
    artifacts.add(Artifact.parse(model));
    for (int i = 0; i < specification.model(model).orElseThrow().adapters(); i++) {
      artifacts.add(new Artifact(model, Optional.of("a" + i)));
    }
  }
}
