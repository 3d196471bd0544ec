package org.magnoliavale.internal.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Selects the endpoint for one attempt. Performs no I/O and reads no clock; time and the random
 * generator are parameters.
 */
public final class Router {
  private static final double MICROSECONDS_PER_SECOND = 1e6;

  private final RoutingPolicy policy;

  private Router(RoutingPolicy policy) {
    this.policy = policy;
  }

  /** Returns a router with the given policy. */
  public static Router of(RoutingPolicy policy) {
    return new Router(policy);
  }

  /**
   * Selects among the endpoints that hold a model.
   *
   * @param excluded endpoints that are excluded for this request
   * @param nowNanos monotonic time
   */
  public Optional<RouteDecision> selectForModel(
      RoutingSnapshot snapshot,
      ModelName name,
      Set<EndpointId> excluded,
      long nowNanos,
      RandomGenerator random) {
    List<Candidate> holders = snapshot.models().getOrDefault(name.model(), List.of());
    List<Candidate> eligible = new ArrayList<>(holders.size());
    for (Candidate candidate : holders) {
      if (matches(candidate, name)) {
        eligible.add(candidate);
      }
    }
    if (name.version() == 0) {
      eligible = preferDocumentVersion(snapshot, name, eligible);
    }
    return select(snapshot, eligible, excluded, nowNanos, random);
  }

  /** Selects among the endpoints of a plain service. */
  public Optional<RouteDecision> selectForService(
      RoutingSnapshot snapshot,
      String service,
      Set<EndpointId> excluded,
      long nowNanos,
      RandomGenerator random) {
    List<Candidate> candidates = snapshot.services().getOrDefault(service, List.of());
    return select(snapshot, candidates, excluded, nowNanos, random);
  }

  private static boolean matches(Candidate candidate, ModelName name) {
    boolean versionMatches = name.version() == 0 || candidate.version() == name.version();
    return versionMatches
        && (name.adapter() == null || candidate.adapters().contains(name.adapter()));
  }

  /** Returns the candidates with the document's version, or all if none has it. */
  private static List<Candidate> preferDocumentVersion(
      RoutingSnapshot snapshot, ModelName name, List<Candidate> eligible) {
    var model = snapshot.document().models().get(name.model());
    if (model == null) {
      return eligible;
    }
    List<Candidate> documentVersion =
        eligible.stream().filter(candidate -> candidate.version() == model.version()).toList();
    return documentVersion.isEmpty() ? eligible : documentVersion;
  }

  private Optional<RouteDecision> select(
      RoutingSnapshot snapshot,
      List<Candidate> eligible,
      Set<EndpointId> excluded,
      long nowNanos,
      RandomGenerator random) {
    List<Candidate> usable = usable(eligible, excluded, nowNanos);
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    Candidate chosen =
        switch (policy) {
          case RoutingPolicy.RoundRobin(var counter) ->
              usable.get(Math.floorMod(counter.getAndIncrement(), usable.size()));
          case RoutingPolicy.LeastReported() ->
              leastBy(usable, candidate -> candidate.load().reportedOutstanding());
          case RoutingPolicy.LeastInFlight() ->
              leastBy(usable, candidate -> candidate.load().localInFlight());
          case RoutingPolicy.EarliestFinish() ->
              earlierOfTwoRandom(usable, snapshot.instances(), random);
        };
    return Optional.of(new RouteDecision(chosen, usable.size(), reason(chosen, snapshot)));
  }

  /**
   * Filters out excluded, draining and unreachable endpoints; ejected endpoints are returned only
   * if no other is left.
   */
  private static List<Candidate> usable(
      List<Candidate> eligible, Set<EndpointId> excluded, long nowNanos) {
    List<Candidate> healthy = new ArrayList<>(eligible.size());
    List<Candidate> ejected = new ArrayList<>();
    for (Candidate candidate : eligible) {
      boolean unavailable =
          excluded.contains(candidate.endpoint().id())
              || candidate.load().isDraining()
              || candidate.load().isUnreachable(nowNanos);
      if (unavailable) {
        continue;
      }
      (candidate.load().isEjected(nowNanos) ? ejected : healthy).add(candidate);
    }
    return healthy.isEmpty() ? ejected : healthy;
  }

  private static Candidate leastBy(List<Candidate> usable, ToDoubleFunction<Candidate> measure) {
    Candidate best = usable.getFirst();
    for (Candidate candidate : usable) {
      if (measure.applyAsDouble(candidate) < measure.applyAsDouble(best)) {
        best = candidate;
      }
    }
    return best;
  }

  /**
   * Draws two different endpoints at random and selects the one with the earlier finish, so that
   * instances with the same outdated report do not all select the same endpoint.
   */
  private static Candidate earlierOfTwoRandom(
      List<Candidate> usable, int instances, RandomGenerator random) {
    if (usable.size() == 1) {
      return usable.getFirst();
    }
    int first = random.nextInt(usable.size());
    int second = random.nextInt(usable.size() - 1);
    if (second >= first) {
      second++;
    }
    Candidate firstCandidate = usable.get(first);
    Candidate secondCandidate = usable.get(second);
    return estimatedFinishSeconds(firstCandidate, instances)
            <= estimatedFinishSeconds(secondCandidate, instances)
        ? firstCandidate
        : secondCandidate;
  }

  /** Returns the estimated time until a request sent now would finish, in seconds. */
  static double estimatedFinishSeconds(Candidate candidate, int instances) {
    EndpointLoad load = candidate.load();
    double requests = load.estimatedOutstanding(instances) + 1;
    double work = requests * load.tokensPerRequest();
    double network = 2 * candidate.distanceMicroseconds() / MICROSECONDS_PER_SECOND;
    return work / candidate.endpoint().tokensPerSecond() + network;
  }

  private String reason(Candidate chosen, RoutingSnapshot snapshot) {
    double outstanding = chosen.load().estimatedOutstanding(snapshot.instances());
    return switch (policy) {
      case RoutingPolicy.RoundRobin ignored -> "turn";
      case RoutingPolicy.LeastReported() -> "reported=" + chosen.load().reportedOutstanding();
      case RoutingPolicy.LeastInFlight() -> "in-flight=" + chosen.load().localInFlight();
      case RoutingPolicy.EarliestFinish() -> "outstanding=" + outstanding;
    };
  }
}
