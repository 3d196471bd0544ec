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
  private static final double BASE_UTILIZATION = 0.3;
  private static final int WARM_UP_SECONDS = 60;
  private static final int FAILURE_START_SECOND = 1_200;
  private static final int FAILURE_END_SECOND = 1_500;

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
    results.add(upperBound());
    return results;
  }

  /** Returns an upper bound: the result if every endpoint could always serve every model. */
  private PlacementResult upperBound() {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    DemandTrace trace = DemandTrace.of(models, totalCapacity() * BASE_UTILIZATION, SECONDS, random);
    double demanded = 0;
    double answered = 0;
    for (int at = WARM_UP_SECONDS; at < SECONDS; at++) {
      int second = at;
      double demand = models.stream().mapToDouble(model -> trace.rateAt(model.id(), second)).sum();
      demanded += demand;
      answered += Math.min(demand, totalCapacity());
    }
    return new PlacementResult("best-possible", answered / demanded, 0, 0);
  }

  private PlacementResult run(String name, PlacementPolicy policy) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    DemandTrace trace = DemandTrace.of(models, totalCapacity() * BASE_UTILIZATION, SECONDS, random);
    return new PolicyRun(policy, trace, random).execute(name);
  }

  private double totalCapacity() {
    return document.endpointsOf(pool.id()).stream().mapToDouble(Endpoint::tokensPerSecond).sum()
        / TOKENS_PER_REQUEST;
  }

  /** State of the simulation of one policy. */
  private final class PolicyRun {
    private final PlacementPolicy policy;
    private final DemandTrace trace;
    private final RandomGenerator random;
    private final DemandForecast forecast = new DemandForecast();
    private final Map<EndpointId, SimulatedEndpoint> endpoints = new TreeMap<>();
    private final Map<ModelId, Integer> unavailableSince = new HashMap<>();
    private double weightStoreFreeAt;
    private double demanded;
    private double answered;
    private int moves;
    private int longestUnavailable;

    PolicyRun(PlacementPolicy policy, DemandTrace trace, RandomGenerator random) {
      this.policy = policy;
      this.trace = trace;
      this.random = random;
      for (Endpoint endpoint : document.endpointsOf(pool.id())) {
        endpoints.put(endpoint.id(), new SimulatedEndpoint(endpoint));
      }
    }

    PlacementResult execute(String name) {
      for (int second = 0; second < SECONDS; second++) {
        SimulatedEndpoint failingEndpoint = endpoints.values().iterator().next();
        if (second == FAILURE_START_SECOND) {
          failingEndpoint.fail();
        } else if (second == FAILURE_END_SECOND) {
          failingEndpoint.recover();
        }
        measureDemand(second);
        apply(policy.plan(input(second)), second);
        if (second >= WARM_UP_SECONDS) {
          serveDemand(second);
          recordAvailability(second);
        }
      }
      return new PlacementResult(name, answered / demanded, moves, longestUnavailable);
    }

    private void measureDemand(int second) {
      Map<ModelId, Double> arrivals = new HashMap<>();
      for (Model model : models) {
        arrivals.put(
            model.id(), DemandTrace.drawArrivals(trace.rateAt(model.id(), second), random));
      }
      forecast.addSample(arrivals);
    }

    private PlacementInput input(int second) {
      return new PlacementInput(
          pool,
          models,
          endpoints.values().stream().map(endpoint -> endpoint.snapshot(second)).toList(),
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
        double maximumBacklogSeconds = pool.maximumConcurrentLoads() / pool.loadsPerSecond();
        if (weightStoreFreeAt - second > maximumBacklogSeconds) {
          return;
        }
        weightStoreFreeAt = Math.max(weightStoreFreeAt, second) + 1 / pool.loadsPerSecond();
        readyAt = weightStoreFreeAt;
      }
      endpoints.get(load.endpoint()).load(load.artifact(), load.bytes(), readyAt);
      countMove(load.artifact(), second);
    }

    private void countMove(ArtifactId artifact, int second) {
      if (artifact.adapter() == null && second >= WARM_UP_SECONDS) {
        moves++;
      }
    }

    /** Distributes the demand over ready replicas by capacity and caps it at the capacity. */
    private void serveDemand(int second) {
      Map<EndpointId, Double> load = new HashMap<>();
      for (Model model : models) {
        double demand = trace.rateAt(model.id(), second);
        demanded += demand;
        List<SimulatedEndpoint> readyReplicas = readyReplicas(model, second);
        double capacity = readyReplicas.stream().mapToDouble(PolicyRun::capacity).sum();
        readyReplicas.forEach(
            replica ->
                load.merge(
                    replica.endpoint().id(), demand * capacity(replica) / capacity, Double::sum));
      }
      load.forEach(
          (endpoint, requests) ->
              answered += Math.min(requests, capacity(endpoints.get(endpoint))));
    }

    private List<SimulatedEndpoint> readyReplicas(Model model, int second) {
      return endpoints.values().stream()
          .filter(endpoint -> endpoint.isReady(model.weights(), second))
          .toList();
    }

    private void recordAvailability(int second) {
      for (Model model : models) {
        if (!readyReplicas(model, second).isEmpty()) {
          unavailableSince.remove(model.id());
          continue;
        }
        int since = unavailableSince.computeIfAbsent(model.id(), ignored -> second);
        longestUnavailable = Math.max(longestUnavailable, second - since + 1);
      }
    }

    private static double capacity(SimulatedEndpoint endpoint) {
      return endpoint.endpoint().tokensPerSecond() / TOKENS_PER_REQUEST;
    }
  }
}
