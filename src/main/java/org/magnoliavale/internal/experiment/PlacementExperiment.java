package org.magnoliavale.internal.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.document.Pool;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.placement.DemandForecast;
import org.magnoliavale.internal.placement.DemandProportionalPlacement;
import org.magnoliavale.internal.placement.LeastRecentlyUsedPlacement;
import org.magnoliavale.internal.placement.Move;
import org.magnoliavale.internal.placement.PlacementInput;
import org.magnoliavale.internal.placement.PlacementPolicy;
import org.magnoliavale.internal.placement.Planner;
import org.magnoliavale.internal.placement.StaticPlacement;

/**
 * Compares placement policies on an engine pool under the same demand.
 *
 * <p>The simulation advances in steps of one second. In each step an endpoint answers requests up
 * to its capacity; the rest count as not answered in time. Loads of model weights are serialized at
 * the rate of the weight store. One endpoint fails and recovers during the run.
 */
public final class PlacementExperiment {
  /** Simulated time of an experiment, in seconds. */
  public static final int SECONDS = 3_600;

  private static final double TOKENS_PER_REQUEST = 64;
  private static final double BASE_SHARE_OF_SPEED = 0.3;
  private static final int SETTLED_AFTER_SECONDS = 60;
  private static final int LOST_FROM_SECOND = 1_200;
  private static final int LOST_TO_SECOND = 1_500;

  private final Document document;
  private final Pool pool;
  private final List<Model> models;
  private final long seed;

  private PlacementExperiment(Document document, Pool pool, long seed) {
    this.document = document;
    this.pool = pool;
    this.models = document.modelsOf(pool.id());
    this.seed = seed;
  }

  /** Returns an experiment on the first engine pool of a document. */
  public static PlacementExperiment of(Document document, long seed) {
    Pool pool =
        document.pools().values().stream().filter(Pool::enginePool).findFirst().orElseThrow();
    return new PlacementExperiment(document, pool, seed);
  }

  /** Runs the planner and the three baselines, and adds the upper bound. */
  public List<PlacementResult> runAll() {
    Map<String, PlacementPolicy> policies = new LinkedHashMap<>();
    policies.put("planner", new Planner());
    policies.put("static", new StaticPlacement());
    policies.put("least-recently-used", new LeastRecentlyUsedPlacement());
    policies.put("demand-proportional", new DemandProportionalPlacement());
    List<PlacementResult> results = new ArrayList<>();
    policies.forEach((name, policy) -> results.add(run(name, policy)));
    results.add(bestPossible());
    return results;
  }

  /** Returns the upper bound: the result if every endpoint could always serve every model. */
  private PlacementResult bestPossible() {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    DemandTrace trace = DemandTrace.of(models, totalSpeed() * BASE_SHARE_OF_SPEED, SECONDS, random);
    double demanded = 0;
    double answered = 0;
    for (int at = SETTLED_AFTER_SECONDS; at < SECONDS; at++) {
      int second = at;
      double demand = models.stream().mapToDouble(model -> trace.at(model.id(), second)).sum();
      demanded += demand;
      answered += Math.min(demand, totalSpeed());
    }
    return new PlacementResult("best-possible", answered / demanded, 0, 0);
  }

  private PlacementResult run(String name, PlacementPolicy policy) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    DemandTrace trace = DemandTrace.of(models, totalSpeed() * BASE_SHARE_OF_SPEED, SECONDS, random);
    return new Run(policy, trace, random).execute(name);
  }

  private double totalSpeed() {
    return document.endpointsOf(pool.id()).stream().mapToDouble(Endpoint::tokensPerSecond).sum()
        / TOKENS_PER_REQUEST;
  }

  /** State of the simulation of one policy. */
  private final class Run {
    private final PlacementPolicy policy;
    private final DemandTrace trace;
    private final RandomGenerator random;
    private final DemandForecast forecast = new DemandForecast();
    private final Map<EndpointId, ModelledEndpoint> endpoints = new TreeMap<>();
    private final Map<ModelId, Integer> unreachableSince = new HashMap<>();
    private double storeFreeAt;
    private double demanded;
    private double answered;
    private int moves;
    private int longestUnreachable;

    Run(PlacementPolicy policy, DemandTrace trace, RandomGenerator random) {
      this.policy = policy;
      this.trace = trace;
      this.random = random;
      for (Endpoint endpoint : document.endpointsOf(pool.id())) {
        endpoints.put(endpoint.id(), new ModelledEndpoint(endpoint));
      }
    }

    PlacementResult execute(String name) {
      for (int second = 0; second < SECONDS; second++) {
        ModelledEndpoint victim = endpoints.values().iterator().next();
        if (second == LOST_FROM_SECOND) {
          victim.lose();
        } else if (second == LOST_TO_SECOND) {
          victim.restore();
        }
        measureDemand(second);
        apply(policy.plan(input(second)), second);
        if (second >= SETTLED_AFTER_SECONDS) {
          answer(second);
          noteReachability(second);
        }
      }
      return new PlacementResult(name, answered / demanded, moves, longestUnreachable);
    }

    private void measureDemand(int second) {
      Map<ModelId, Double> measured = new HashMap<>();
      for (Model model : models) {
        measured.put(model.id(), DemandTrace.measured(trace.at(model.id(), second), random));
      }
      forecast.addSample(measured);
    }

    private PlacementInput input(int second) {
      return new PlacementInput(
          pool,
          models,
          endpoints.values().stream().map(endpoint -> endpoint.placed(second)).toList(),
          forecast.current(),
          forecast.typical(),
          TOKENS_PER_REQUEST);
    }

    private void apply(List<Move> planned, int second) {
      for (Move move : planned) {
        switch (move) {
          case Move.Load load -> load(load, second);
          case Move.Unload unload -> {
            endpoints.get(unload.endpoint()).unload(unload.artifact());
            countMove(unload.artifact(), second);
          }
          case Move.Declined ignored -> {}
        }
      }
    }

    private void load(Move.Load load, int second) {
      double readyAt = second;
      if (load.artifact().adapter() == null) {
        double burst = pool.maximumConcurrentLoads() / pool.loadsPerSecond();
        if (storeFreeAt - second > burst) {
          return;
        }
        storeFreeAt = Math.max(storeFreeAt, second) + 1 / pool.loadsPerSecond();
        readyAt = storeFreeAt;
      }
      endpoints.get(load.endpoint()).load(load.artifact(), load.bytes(), readyAt);
      countMove(load.artifact(), second);
    }

    private void countMove(ArtifactId artifact, int second) {
      if (artifact.adapter() == null && second >= SETTLED_AFTER_SECONDS) {
        moves++;
      }
    }

    /** Distributes the demand over ready replicas by capacity and caps it at the capacity. */
    private void answer(int second) {
      Map<EndpointId, Double> load = new HashMap<>();
      for (Model model : models) {
        double demand = trace.at(model.id(), second);
        demanded += demand;
        List<ModelledEndpoint> holders = holders(model, second);
        double speed = holders.stream().mapToDouble(Run::speed).sum();
        holders.forEach(
            holder ->
                load.merge(holder.endpoint().id(), demand * speed(holder) / speed, Double::sum));
      }
      load.forEach(
          (endpoint, requests) -> answered += Math.min(requests, speed(endpoints.get(endpoint))));
    }

    private List<ModelledEndpoint> holders(Model model, int second) {
      return endpoints.values().stream()
          .filter(endpoint -> endpoint.isReady(model.weights(), second))
          .toList();
    }

    private void noteReachability(int second) {
      for (Model model : models) {
        if (!holders(model, second).isEmpty()) {
          unreachableSince.remove(model.id());
          continue;
        }
        int since = unreachableSince.computeIfAbsent(model.id(), ignored -> second);
        longestUnreachable = Math.max(longestUnreachable, second - since + 1);
      }
    }

    private static double speed(ModelledEndpoint endpoint) {
      return endpoint.endpoint().tokensPerSecond() / TOKENS_PER_REQUEST;
    }
  }
}
