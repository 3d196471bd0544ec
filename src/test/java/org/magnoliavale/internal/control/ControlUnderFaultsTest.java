package org.magnoliavale.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.engine.ResidentArtifact;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Guards against overcommitted engine memory, two lease holders at a time and models that stay
 * unloaded, when table calls, commands and reports are lost or late, instances pause or end, and
 * engines restart. Each run follows from its seed.
 */
class ControlUnderFaultsTest {
  private static final long ENGINE_BYTES = 20;
  private static final long MODEL_BYTES = 7;
  private static final int STEPS = 60;
  private static final long RECOVERY_MS = 90_000;

  static Document document(long version, int changedModelVersion) {
    StringBuilder text = new StringBuilder(TestDocuments.base());
    text.append(TestDocuments.endpoint("engine-1", 1, ENGINE_BYTES, "checking"));
    text.append(TestDocuments.endpoint("engine-2", 2, ENGINE_BYTES, "unchecking"));
    text.append(TestDocuments.endpoint("engine-3", 3, ENGINE_BYTES, "forgetting"));
    for (int model = 1; model <= 4; model++) {
      text.append(TestDocuments.model("model-" + model, MODEL_BYTES));
      text.append("version = ").append(model == 1 ? changedModelVersion : 1).append('\n');
    }
    return DocumentReader.read("d.ini", text.toString(), version);
  }

  @Property(tries = 60, seed = "20261204")
  void memoryIsNeverOvercommittedAndEveryModelIsRestored(
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE) long seed) {
    FaultRates faults = new FaultRates(0.04, 0.12, 15_000, 0.1);
    SimulatedFleet fleet = new SimulatedFleet(seed, document(1, 1), faults, new SessionLog());
    RandomGenerator random = SimulatedFleet.random(seed + 1);
    for (int i = 1; i <= 3; i++) {
      fleet.addInstance("node-" + i);
    }
    int version = 1;
    for (int step = 0; step < STEPS; step++) {
      fleet.run(200 + random.nextLong(1_500));
      version = injectFault(fleet, random, version, step);
      assertThat(fleet.anyOvercommitted()).as("overcommitted, seed %d", seed).isFalse();
      assertAtMostOneHolder(fleet);
    }
    fleet.setTableDown(false);
    fleet.run(RECOVERY_MS);
    assertThat(fleet.anyOvercommitted()).as("overcommitted, seed %d", seed).isFalse();
    assertThat(readyModels(fleet))
        .as("seed %d", seed)
        .contains("model-1@" + version, "model-2@1", "model-3@1", "model-4@1");
  }

  private static int injectFault(
      SimulatedFleet fleet, RandomGenerator random, int version, int step) {
    List<SimulatedFleet.Instance> instances = fleet.instances();
    SimulatedFleet.Instance instance = instances.get(random.nextInt(instances.size()));
    switch (random.nextInt(10)) {
      case 0 -> instance.pause(random.nextLong(8_000));
      case 1 -> {
        instance.kill();
        fleet.addInstance("node-" + (step + 10));
      }
      case 2 -> fleet.setTableDown(random.nextBoolean());
      case 3 -> {
        List<EndpointId> engines = List.copyOf(fleet.engines().keySet());
        fleet.restart(engines.get(random.nextInt(engines.size())));
      }
      case 4 -> {
        fleet.install(document(step + 2, version + 1));
        return version + 1;
      }
      default -> {}
    }
    return version;
  }

  private static void assertAtMostOneHolder(SimulatedFleet fleet) {
    assertThat(fleet.instances().stream().filter(SimulatedFleet.Instance::holdsLease).count())
        .isLessThanOrEqualTo(1);
  }

  static Set<String> readyModels(SimulatedFleet fleet) {
    Set<String> ready = new HashSet<>();
    for (FakeEngine engine : fleet.engines().values()) {
      for (ResidentArtifact resident : engine.memory().residents()) {
        if (resident.ready()) {
          ready.add(resident.artifact());
        }
      }
    }
    return ready;
  }
}
