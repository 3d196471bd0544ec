package org.magnoliavale.internal.residency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;

/**
 * Engines with copies of weights in memory and on disk, and callers of urgent and of delay-tolerant
 * models, on a virtual clock. Demand for urgent models moves. Only the planner decides.
 */
final class SimulatedPlacement {
  private static final int STEP_MS = 50;
  private static final int ROUND_MS = 250;
  private static final int START_MS = -19_000;
  private static final int LAST_ARRIVAL_MS = 34_000;
  private static final int END_MS = 55_000;
  private static final int ENDPOINTS = 21;
  private static final int SLOTS = 16;
  private static final int URGENT_MODELS = 25;
  private static final int URGENT_MODELS_IN_DEMAND = 10;
  private static final int TOLERANT_MODELS = 40;
  private static final int ADAPTERS = 3;
  private static final double URGENT_PER_S = 70;
  private static final double TOLERANT_PER_S = 6;
  private static final int MODELS_OF_A_SHIFT = 2;
  private static final int SHIFT_LENGTH_MS = 8_000;
  private static final List<Integer> SHIFTS_MS = List.of(1_000, 13_000, 24_000);
  private static final double SHIFTED_SHARE = 0.4;
  private static final int CALL_MS = 1_300;
  private static final int CRASH_MS = 4_400;
  private static final int CRASHED_ENDPOINTS = 4;
  private static final int REMOVAL_MS = 17_000;
  private static final int REMOVED_ENDPOINTS = 3;
  private static final List<Integer> REPLACEMENTS_MS = List.of(17_200, 21_200, 25_200);
  private static final double DECAY_S = 3;
  private static final double LOADS_PER_S = 4.3;

  /** How long callers wait: until when they are in time, and until they leave. */
  private enum CallerKind {
    URGENT(600, 2_400),
    TOLERANT(8_000, 17_500);

    private final int targetMs;
    private final int patienceMs;

    CallerKind(int targetMs, int patienceMs) {
      this.targetMs = targetMs;
      this.patienceMs = patienceMs;
    }
  }

  /** What became of the calls of one kind. */
  static final class Outcome {
    private int calls;
    private int served;
    private int inTime;

    void add(Outcome other) {
      calls += other.calls;
      served += other.served;
      inTime += other.inTime;
    }

    double servedShare() {
      return (double) served / calls;
    }

    double inTimeShare() {
      return (double) inTime / calls;
    }

    @Override
    public String toString() {
      return String.format("served %.3f, in time %.3f", servedShare(), inTimeShare());
    }
  }

  private record Call(CallerKind kind, Artifact artifact, int arrivedMs) {}

  private static final EngineSpecification ENGINE = engine();

  private final Random random;
  private final boolean losesEndpoints;
  private final List<CachingEngine> endpoints = new ArrayList<>();
  private final List<Call> waiting = new ArrayList<>();
  private final Map<Artifact, Double> rates = new HashMap<>();
  private final Map<String, Boolean> delayTolerant = new HashMap<>();
  private final Map<CallerKind, Outcome> outcomes = new HashMap<>();
  private final LoadRateLimit storeLoads = new LoadRateLimit(5);
  private List<Integer> shiftedTo = List.of();
  private int nowMs = START_MS;

  private SimulatedPlacement(int seed, boolean losesEndpoints) {
    random = new Random(seed);
    this.losesEndpoints = losesEndpoints;
    for (CallerKind kind : CallerKind.values()) {
      outcomes.put(kind, new Outcome());
    }
    placeByOperator();
  }

  /**
   * Plays a day.
   *
   * @param losesEndpoints whether some endpoints crash, others are removed, and others are replaced
   */
  static SimulatedPlacement play(int seed, boolean losesEndpoints) {
    SimulatedPlacement placement = new SimulatedPlacement(seed, losesEndpoints);
    placement.run();
    return placement;
  }

  Outcome urgent() {
    return outcomes.get(CallerKind.URGENT);
  }

  Outcome tolerant() {
    return outcomes.get(CallerKind.TOLERANT);
  }

  private static EngineSpecification engine() {
    Map<String, ModelSpecification> models = new LinkedHashMap<>();
    for (int i = 0; i < URGENT_MODELS + TOLERANT_MODELS; i++) {
      String name = (i < URGENT_MODELS ? "urgent" : "tolerant") + i;
      models.put(
          name,
          new ModelSpecification(
              name,
              70,
              Duration.ofMillis(8_600),
              Duration.ofMillis(1_700),
              Duration.ofMillis(800),
              i < URGENT_MODELS ? ADAPTERS : 0,
              0));
    }
    return new EngineSpecification(SLOTS, 100_000, 220, 24, LOADS_PER_S, models);
  }

  /** Spreads the models over the endpoints, as far as there is room. */
  private void placeByOperator() {
    List<String> names = new ArrayList<>(ENGINE.modelNames());
    Collections.shuffle(names, random);
    Iterator<String> next = names.iterator();
    for (int i = 0; i < ENDPOINTS; i++) {
      CachingEngine endpoint = new CachingEngine("e" + i, ENGINE, random);
      for (int place = 0; place < 3; place++) {
        endpoint.hold(next.next());
      }
      endpoints.add(endpoint);
    }
  }

  private long nowNanos() {
    return (nowMs - START_MS) * 1_000_000L;
  }

  private void run() {
    for (; nowMs < END_MS; nowMs += STEP_MS) {
      for (CachingEngine endpoint : endpoints) {
        endpoint.advance(nowMs);
      }
      if (losesEndpoints) {
        loseEndpoints();
      }
      rates.replaceAll((artifact, rate) -> rate * Math.exp(-STEP_MS / 1_000.0 / DECAY_S));
      if (nowMs >= 0 && nowMs < LAST_ARRIVAL_MS) {
        shiftDemand();
        arrive(CallerKind.URGENT, URGENT_PER_S);
        arrive(CallerKind.TOLERANT, TOLERANT_PER_S);
      }
      serveWaiting();
      if (nowMs % ROUND_MS == 0) {
        plan();
      }
    }
  }

  private void loseEndpoints() {
    if (nowMs == CRASH_MS) {
      endpoints.subList(0, CRASHED_ENDPOINTS).forEach(endpoint -> endpoint.restart(false));
    }
    if (nowMs == REMOVAL_MS) {
      endpoints.subList(0, REMOVED_ENDPOINTS).clear();
    }
    if (REPLACEMENTS_MS.contains(nowMs)) {
      endpoints.get(REPLACEMENTS_MS.indexOf(nowMs)).restart(true);
    }
  }

  private void shiftDemand() {
    if (SHIFTS_MS.contains(nowMs)) {
      List<Integer> others = new ArrayList<>();
      for (int i = URGENT_MODELS_IN_DEMAND; i < URGENT_MODELS; i++) {
        others.add(i);
      }
      Collections.shuffle(others, random);
      shiftedTo = others.subList(0, MODELS_OF_A_SHIFT);
    }
    if (SHIFTS_MS.stream().anyMatch(shift -> nowMs == shift + SHIFT_LENGTH_MS)) {
      shiftedTo = List.of();
    }
  }

  private void arrive(CallerKind kind, double perSecond) {
    double expected = perSecond * STEP_MS / 1_000;
    int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int i = 0; i < count; i++) {
      Artifact artifact = kind == CallerKind.URGENT ? urgentArtifact() : tolerantArtifact();
      rates.merge(artifact, 1 / DECAY_S, Double::sum);
      delayTolerant.put(artifact.model(), kind == CallerKind.TOLERANT);
      outcomes.get(kind).calls++;
      waiting.add(new Call(kind, artifact, nowMs));
    }
  }

  private Artifact tolerantArtifact() {
    return Artifact.parse("tolerant" + (URGENT_MODELS + random.nextInt(TOLERANT_MODELS)));
  }

  private Artifact urgentArtifact() {
    boolean shifted = !shiftedTo.isEmpty() && random.nextDouble() < SHIFTED_SHARE;
    int index =
        shifted
            ? shiftedTo.get(random.nextInt(shiftedTo.size()))
            : random.nextInt(URGENT_MODELS_IN_DEMAND);
    return new Artifact("urgent" + index, Optional.of("a" + random.nextInt(ADAPTERS)));
  }

  private void serveWaiting() {
    waiting.removeIf(
        call -> {
          int waitedMs = nowMs - call.arrivedMs();
          Optional<CachingEngine> target =
              endpoints.stream()
                  .filter(endpoint -> endpoint.isReady(call.artifact().model()))
                  .filter(endpoint -> endpoint.runningCalls() < SLOTS)
                  .min(Comparator.comparingInt(CachingEngine::runningCalls));
          target.ifPresent(
              endpoint -> {
                endpoint.run(CALL_MS, nowMs);
                Outcome outcome = outcomes.get(call.kind());
                outcome.served++;
                outcome.inTime += waitedMs <= call.kind().targetMs ? 1 : 0;
              });
          return target.isPresent() || waitedMs > call.kind().patienceMs;
        });
  }

  private void plan() {
    Map<Artifact, ArtifactUse> uses = new HashMap<>();
    rates.forEach((artifact, rate) -> uses.put(artifact, use(artifact, rate, 0)));
    for (Call call : waiting) {
      boolean ready =
          endpoints.stream().anyMatch(endpoint -> endpoint.isReady(call.artifact().model()));
      if (!ready) {
        uses.merge(call.artifact(), use(call.artifact(), 0, 1), ArtifactUse::plus);
      }
    }
    Map<String, CachingEngine> byId = new HashMap<>();
    endpoints.forEach(endpoint -> byId.put(endpoint.id(), endpoint));
    List<EndpointView> views = endpoints.stream().map(engine -> engine.view(nowMs)).toList();
    boolean allowed = storeLoads.allows(LOADS_PER_S, nowNanos());
    ResidencyPlanner.plan(views, uses, delayTolerant, phase(), allowed).stream()
        .filter(step -> step.artifact().adapter().isEmpty())
        .forEach(step -> execute(byId.get(step.view().id()), step));
  }

  private void execute(CachingEngine endpoint, ResidencyPlanner.Step step) {
    if (step.loadsFromStore()) {
      storeLoads.recordStart(nowNanos());
    }
    endpoint.execute(step, CALL_MS, nowMs);
  }

  private DemandPhase phase() {
    if (nowMs <= 0) {
      return DemandPhase.NO_REQUESTS;
    }
    return nowMs < 4_000 ? DemandPhase.LEARNING : DemandPhase.KNOWN;
  }

  private ArtifactUse use(Artifact artifact, double rate, int waitingCalls) {
    return new ArtifactUse(rate, waitingCalls, delayTolerant.get(artifact.model()));
  }
}
