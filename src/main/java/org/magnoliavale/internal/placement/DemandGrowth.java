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
import org.magnoliavale.internal.placement.Workspace.Place;

/**
 * Adds replicas where they answer more requests in time than their moves cost, one step after the
 * other, each time the step that profits most. A step either loads into free memory, or evicts
 * surplus replicas to make room. Room that is being made counts as given to the model that profits
 * most from it, so that it is neither made twice nor given back to the model that it was taken
 * from.
 */
final class DemandGrowth {
  /** Time over which a further replica must pay for its move, in seconds. */
  private static final double HORIZON_SECONDS = 60;

  /** Time that a model spends in bursts over the hours that a replica stays, in seconds. */
  private static final double BURST_SECONDS = 60;

  private static final int MAXIMUM_STEPS = 8;

  /** Models that are considered in a step; the rest lack less. */
  private static final int MAXIMUM_CONSIDERED = 16;

  /** Endpoints that are considered in a step; the rest are used more. */
  private static final int MAXIMUM_PLACES = 12;

  /**
   * A step that was considered: what goes, what comes, where, and what it brings beyond its cost.
   */
  private record Step(Model model, Place place, List<ArtifactId> evicted, double profit) {}

  private final Workspace workspace;
  private final LoadEstimate estimate;
  private final double price;
  private final Map<ModelId, List<Place>> promised = new HashMap<>();
  private final Set<Place> promisedPlaces = new HashSet<>();

  DemandGrowth(Workspace workspace) {
    this.workspace = workspace;
    this.estimate = LoadEstimate.of(workspace);
    this.price = workspace.input().pool().moveCost();
  }

  void run() {
    promiseRoomUnderWay();
    for (int steps = 0; steps < MAXIMUM_STEPS; steps++) {
      Optional<Step> best = bestStep();
      if (best.isEmpty()) {
        return;
      }
      if (best.get().profit() <= 0) {
        decline(best.get());
        return;
      }
      take(best.get());
    }
  }

  /** Gives the room that departing artifacts leave to the models that profit most from it. */
  private void promiseRoomUnderWay() {
    for (Place place : workspace.usable()) {
      long departing = workspace.departingBytes(place);
      if (departing > 0) {
        crowdedModels().stream()
            .filter(model -> !workspace.isOccupied(place, model.weights()))
            .filter(model -> place.freeBytes() + departing >= model.bytesWithAdapters())
            .map(model -> new Step(model, place, List.of(), gain(model, place)))
            .max(Comparator.comparingDouble(Step::profit))
            .ifPresent(step -> promise(step.model(), place));
      }
    }
  }

  private void promise(Model model, Place place) {
    estimate.spread(model, holders(model), -1);
    promised.computeIfAbsent(model.id(), ignored -> new ArrayList<>()).add(place);
    promisedPlaces.add(place);
    estimate.spread(model, holders(model), 1);
  }

  private List<Place> holders(Model model) {
    List<Place> holders = new ArrayList<>(workspace.holders(model.weights()));
    holders.addAll(promised.getOrDefault(model.id(), List.of()));
    return holders;
  }

  /** Returns the models that get, or would get in a burst, more than is answered in time. */
  private List<Model> crowdedModels() {
    Map<Model, Double> lacking = new HashMap<>();
    for (Model model : workspace.input().models()) {
      List<Place> holders = holders(model);
      boolean demanded = workspace.input().demandOf(model.id()) > 0;
      double excess = demanded ? estimate.excess(holders) : 0;
      double lack = excess * HORIZON_SECONDS + estimate.burstExcess(model, holders) * BURST_SECONDS;
      if (!holders.isEmpty() && lack > 0) {
        lacking.put(model, lack);
      }
    }
    return lacking.entrySet().stream()
        .sorted(
            Map.Entry.<Model, Double>comparingByValue()
                .reversed()
                .thenComparing(entry -> entry.getKey().id()))
        .limit(MAXIMUM_CONSIDERED)
        .map(Map.Entry::getKey)
        .toList();
  }

  private Optional<Step> bestStep() {
    Step best = null;
    List<Place> places = leastUsedPlaces();
    for (Model model : crowdedModels()) {
      for (Place place : places) {
        if (workspace.isOccupied(place, model.weights())) {
          continue;
        }
        Optional<Step> step = step(model, place);
        if (step.isPresent() && (best == null || step.get().profit() > best.profit())) {
          best = step.get();
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private List<Place> leastUsedPlaces() {
    return workspace.usable().stream()
        .filter(place -> !promisedPlaces.contains(place))
        .sorted(Comparator.comparingDouble(estimate::utilisation).thenComparing(Place::id))
        .limit(MAXIMUM_PLACES)
        .toList();
  }

  private Optional<Step> step(Model model, Place place) {
    if (place.freeBytes() >= model.bytesWithAdapters()) {
      return Optional.of(new Step(model, place, List.of(), gain(model, place) - price));
    }
    Optional<List<ArtifactId>> evicted = RoomMaker.evictable(workspace, place, model);
    if (evicted.isEmpty()) {
      return Optional.empty();
    }
    double cost = price * (1 + evicted.get().size());
    double profit = gain(model, place) - loss(evicted.get(), place) - cost;
    return Optional.of(new Step(model, place, evicted.get(), profit));
  }

  private double loss(List<ArtifactId> evicted, Place place) {
    double loss = 0;
    for (ArtifactId spare : evicted) {
      Model model = workspace.model(spare.model()).orElseThrow();
      List<Place> rest = new ArrayList<>(workspace.holders(spare));
      rest.remove(place);
      loss += gain(model, rest, place);
    }
    return loss;
  }

  private void take(Step step) {
    Model model = step.model();
    if (step.evicted().isEmpty()) {
      estimate.spread(model, holders(model), -1);
      workspace.load(model.weights(), step.place(), model.bytes(), Reason.DEMAND);
      estimate.spread(model, holders(model), 1);
      return;
    }
    for (ArtifactId spare : step.evicted()) {
      Model evicted = workspace.model(spare.model()).orElseThrow();
      estimate.spread(evicted, holders(evicted), -1);
      workspace.unload(spare, step.place(), Reason.MAKE_ROOM);
      estimate.spread(evicted, holders(evicted), 1);
    }
    promise(model, step.place());
  }

  private void decline(Step step) {
    workspace.decline(
        step.model().weights(),
        Reason.PRICE,
        "profit=%.1f price=%.1f".formatted(step.profit(), price));
  }

  private double gain(Model model, Place added) {
    return gain(model, holders(model), added);
  }

  /**
   * Returns the requests that one more replica answers in time: those of the demand now, over the
   * horizon, and those of bursts to come.
   */
  private double gain(Model model, List<Place> holders, Place added) {
    List<Place> after = new ArrayList<>(holders);
    after.add(added);
    double excessBefore = estimate.excess(after);
    double burstBefore = estimate.burstExcess(model, holders);
    estimate.spread(model, holders, -1);
    estimate.spread(model, after, 1);
    double excessAfter = estimate.excess(after);
    double burstAfter = estimate.burstExcess(model, after);
    estimate.spread(model, after, -1);
    estimate.spread(model, holders, 1);
    return (excessBefore - excessAfter) * HORIZON_SECONDS
        + (burstBefore - burstAfter) * BURST_SECONDS;
  }
}
