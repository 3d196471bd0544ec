package org.magnoliavale.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.placement.Move.Reason;
import org.magnoliavale.internal.placement.PlacementRound.PlannedEndpoint;

/**
 * Adds replicas by greedy search: each step applies the most profitable change, while its benefit
 * in requests answered in time exceeds the cost of its moves. A step either loads a replica into
 * free memory or evicts surplus replicas to make room for it. Memory that is being freed is
 * assigned in advance to the model that benefits most from it, so that it is neither freed twice
 * nor given back to the evicted model.
 */
final class ReplicaScaler {
  /** Time within which an additional replica must make up for the cost of its move, in seconds. */
  private static final double PAYBACK_SECONDS = 60;

  /**
   * Total time of bursts during the hours for which a replica stays, in seconds. With 200 s, more
   * replicas move and hardly more requests are answered in time.
   */
  private static final double BURST_SECONDS = 60;

  private static final int MAXIMUM_STEPS = 8;

  /** Models considered in a step, those with the largest shortfall. */
  private static final int MAXIMUM_MODELS = 16;

  /** Endpoints considered in a step, the least utilized ones. */
  private static final int MAXIMUM_ENDPOINTS = 12;

  /**
   * A candidate step.
   *
   * @param model the model that gets a replica
   * @param endpoint the endpoint of the replica
   * @param evicted the artifacts to evict from that endpoint first
   * @param profit requests answered in time beyond the cost of the moves
   */
  private record Step(
      Model model, PlannedEndpoint endpoint, List<ArtifactId> evicted, double profit) {}

  private final PlacementRound round;
  private final UtilizationEstimate estimate;
  private final double moveCost;
  private final Map<ModelId, List<PlannedEndpoint>> assigned = new HashMap<>();
  private final Set<PlannedEndpoint> assignedEndpoints = new HashSet<>();

  ReplicaScaler(PlacementRound round) {
    this.round = round;
    this.estimate = UtilizationEstimate.of(round);
    this.moveCost = round.input().pool().moveCost();
  }

  void run() {
    assignMemoryBeingFreed();
    for (int steps = 0; steps < MAXIMUM_STEPS; steps++) {
      Optional<Step> best = bestStep();
      if (best.isEmpty()) {
        return;
      }
      if (best.get().profit() <= 0) {
        decline(best.get());
        return;
      }
      apply(best.get());
    }
  }

  /** Assigns the memory of artifacts being unloaded to the models that benefit most from it. */
  private void assignMemoryBeingFreed() {
    for (PlannedEndpoint endpoint : round.usable()) {
      long unloadingBytes = round.unloadingBytes(endpoint);
      if (unloadingBytes > 0) {
        modelsWithShortfall().stream()
            .filter(model -> !round.isAllocated(endpoint, model.weights()))
            .filter(model -> endpoint.freeBytes() + unloadingBytes >= model.bytesWithAdapters())
            .map(model -> new Step(model, endpoint, List.of(), gain(model, endpoint)))
            .max(Comparator.comparingDouble(Step::profit))
            .ifPresent(step -> assign(step.model(), endpoint));
      }
    }
  }

  private void assign(Model model, PlannedEndpoint endpoint) {
    estimate.distribute(model, holders(model), -1);
    assigned.computeIfAbsent(model.id(), ignored -> new ArrayList<>()).add(endpoint);
    assignedEndpoints.add(endpoint);
    estimate.distribute(model, holders(model), 1);
  }

  private List<PlannedEndpoint> holders(Model model) {
    List<PlannedEndpoint> holders = new ArrayList<>(round.holders(model.weights()));
    holders.addAll(assigned.getOrDefault(model.id(), List.of()));
    return holders;
  }

  /** Returns the models that get, or would get in a burst, more than their replicas can answer. */
  private List<Model> modelsWithShortfall() {
    Map<Model, Double> shortfalls = new HashMap<>();
    for (Model model : round.input().models()) {
      List<PlannedEndpoint> holders = holders(model);
      boolean hasDemand = round.input().demandOf(model.id()) > 0;
      double excess = hasDemand ? estimate.excess(holders) : 0;
      double shortfall =
          excess * PAYBACK_SECONDS + estimate.burstExcess(model, holders) * BURST_SECONDS;
      if (!holders.isEmpty() && shortfall > 0) {
        shortfalls.put(model, shortfall);
      }
    }
    return shortfalls.entrySet().stream()
        .sorted(
            Map.Entry.<Model, Double>comparingByValue()
                .reversed()
                .thenComparing(entry -> entry.getKey().id()))
        .limit(MAXIMUM_MODELS)
        .map(Map.Entry::getKey)
        .toList();
  }

  private Optional<Step> bestStep() {
    Step best = null;
    List<PlannedEndpoint> endpoints = leastUtilizedEndpoints();
    for (Model model : modelsWithShortfall()) {
      for (PlannedEndpoint endpoint : endpoints) {
        if (round.isAllocated(endpoint, model.weights())) {
          continue;
        }
        Optional<Step> step = step(model, endpoint);
        if (step.isPresent() && (best == null || step.get().profit() > best.profit())) {
          best = step.get();
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private List<PlannedEndpoint> leastUtilizedEndpoints() {
    return round.usable().stream()
        .filter(endpoint -> !assignedEndpoints.contains(endpoint))
        .sorted(
            Comparator.comparingDouble(estimate::utilization).thenComparing(PlannedEndpoint::id))
        .limit(MAXIMUM_ENDPOINTS)
        .toList();
  }

  private Optional<Step> step(Model model, PlannedEndpoint endpoint) {
    if (endpoint.freeBytes() >= model.bytesWithAdapters()) {
      return Optional.of(new Step(model, endpoint, List.of(), gain(model, endpoint) - moveCost));
    }
    Optional<List<ArtifactId>> evicted = MemoryReclaimer.selectEvictable(round, endpoint, model);
    if (evicted.isEmpty()) {
      return Optional.empty();
    }
    double cost = moveCost * (1 + evicted.get().size());
    double profit = gain(model, endpoint) - loss(evicted.get(), endpoint) - cost;
    return Optional.of(new Step(model, endpoint, evicted.get(), profit));
  }

  private double loss(List<ArtifactId> evicted, PlannedEndpoint endpoint) {
    double loss = 0;
    for (ArtifactId artifact : evicted) {
      Model model = round.model(artifact.model()).orElseThrow();
      List<PlannedEndpoint> remaining = new ArrayList<>(round.holders(artifact));
      remaining.remove(endpoint);
      loss += gain(model, remaining, endpoint);
    }
    return loss;
  }

  private void apply(Step step) {
    Model model = step.model();
    if (step.evicted().isEmpty()) {
      estimate.distribute(model, holders(model), -1);
      round.load(model.weights(), step.endpoint(), model.bytes(), Reason.DEMAND);
      estimate.distribute(model, holders(model), 1);
      return;
    }
    for (ArtifactId artifact : step.evicted()) {
      Model evicted = round.model(artifact.model()).orElseThrow();
      estimate.distribute(evicted, holders(evicted), -1);
      round.unload(artifact, step.endpoint(), Reason.MAKE_ROOM);
      estimate.distribute(evicted, holders(evicted), 1);
    }
    assign(model, step.endpoint());
  }

  private void decline(Step step) {
    round.decline(
        step.model().weights(),
        Reason.PRICE,
        "profit=%.1f price=%.1f".formatted(step.profit(), moveCost));
  }

  private double gain(Model model, PlannedEndpoint added) {
    return gain(model, holders(model), added);
  }

  /**
   * Returns the number of additional requests that one more replica answers in time, from the
   * current demand and from expected bursts.
   */
  private double gain(Model model, List<PlannedEndpoint> holders, PlannedEndpoint added) {
    List<PlannedEndpoint> after = new ArrayList<>(holders);
    after.add(added);
    double excessBefore = estimate.excess(after);
    double burstBefore = estimate.burstExcess(model, holders);
    estimate.distribute(model, holders, -1);
    estimate.distribute(model, after, 1);
    double excessAfter = estimate.excess(after);
    double burstAfter = estimate.burstExcess(model, after);
    estimate.distribute(model, after, -1);
    estimate.distribute(model, holders, 1);
    return (excessBefore - excessAfter) * PAYBACK_SECONDS
        + (burstBefore - burstAfter) * BURST_SECONDS;
  }
}
