package org.magnoliavale.internal.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.identifier.ModelId;

/** Synthetic demand over time: a base rate per model, and bursts of ten times the base rate. */
final class DemandTrace {
  private static final double BURST_FACTOR = 10;
  private static final int MINIMUM_BURST_SECONDS = 60;
  private static final int MAXIMUM_BURST_SECONDS = 300;
  private static final int MEAN_SECONDS_BETWEEN_BURSTS = 45;

  private record Burst(ModelId model, int from, int to) {}

  private final Map<ModelId, Double> baseRates = new HashMap<>();
  private final List<Burst> bursts = new ArrayList<>();

  /** Returns a trace whose base rates add up to {@code baseRequestsPerSecond}. */
  static DemandTrace of(
      List<Model> models, double baseRequestsPerSecond, int seconds, RandomGenerator random) {
    DemandTrace trace = new DemandTrace();
    double weightSum = 0;
    for (int rank = 1; rank <= models.size(); rank++) {
      weightSum += 1.0 / rank;
    }
    for (int rank = 1; rank <= models.size(); rank++) {
      double share = 1.0 / rank / weightSum;
      trace.baseRates.put(models.get(rank - 1).id(), share * baseRequestsPerSecond);
    }
    int at = 0;
    while (at < seconds) {
      at += (int) (-Math.log(1 - random.nextDouble()) * MEAN_SECONDS_BETWEEN_BURSTS);
      int length = random.nextInt(MINIMUM_BURST_SECONDS, MAXIMUM_BURST_SECONDS);
      Model model = models.get(random.nextInt(models.size()));
      trace.bursts.add(new Burst(model.id(), at, at + length));
    }
    return trace;
  }

  /** Returns the demand of a model in requests per second. */
  double rateAt(ModelId model, int second) {
    boolean bursting =
        bursts.stream()
            .anyMatch(
                burst ->
                    burst.model().equals(model) && second >= burst.from() && second < burst.to());
    double baseRate = baseRates.getOrDefault(model, 0.0);
    return bursting ? baseRate * BURST_FACTOR : baseRate;
  }

  /** Draws the number of arrivals in one second at the given rate. */
  static double drawArrivals(double rate, RandomGenerator random) {
    // Counting exponential inter-arrival times gives a Poisson-distributed number.
    int arrivals = 0;
    double at = -Math.log(1 - random.nextDouble()) / Math.max(rate, 1e-9);
    while (at < 1) {
      arrivals++;
      at += -Math.log(1 - random.nextDouble()) / rate;
    }
    return arrivals;
  }
}
