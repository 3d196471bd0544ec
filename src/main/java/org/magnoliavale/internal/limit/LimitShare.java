package org.magnoliavale.internal.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Parts an endpoint's limit among instances by their demand. All instances that know the same
 * demand get shares that add up to the limit.
 *
 * <p>A share may be used for single requests, so only as many instances get one as can send one
 * request at the same moment without exceeding the limit by much. They are drawn by weighted
 * rendezvous hashing: an instance's chance grows with its demand, different endpoints have
 * different ones, and a change of one instance's demand moves few shares.
 */
final class LimitShare {
  /** Instances with a share of any limit. */
  private static final int MINIMUM_HOLDERS = 2;

  /** Time of the limit that the saved requests of further instances with a share may add up to. */
  private static final double HOLDERS_SECONDS = 1.5;

  private record Candidate(String instance, double score) {}

  private static final Comparator<Candidate> BEST_FIRST =
      Comparator.comparingDouble(Candidate::score).reversed().thenComparing(Candidate::instance);

  private LimitShare() {}

  /**
   * Returns the requests a second that an instance may send.
   *
   * @param endpoint the endpoint
   * @param limit what it takes from all instances
   * @param self the instance
   * @param demand positive demand of each instance, including {@code self}
   */
  static double of(String endpoint, double limit, String self, Map<String, Double> demand) {
    List<String> holders = holders(endpoint, limit, demand);
    if (!holders.contains(self)) {
      return 0;
    }
    double total = holders.stream().mapToDouble(demand::get).sum();
    return limit * demand.get(self) / total;
  }

  private static List<String> holders(String endpoint, double limit, Map<String, Double> demand) {
    int maximum = (int) Math.min(demand.size(), MINIMUM_HOLDERS + HOLDERS_SECONDS * limit);
    if (maximum == demand.size()) {
      return List.copyOf(demand.keySet());
    }
    return demand.entrySet().stream()
        .map(entry -> new Candidate(entry.getKey(), score(endpoint, entry)))
        .sorted(BEST_FIRST)
        .limit(maximum)
        .map(Candidate::instance)
        .toList();
  }

  private static double score(String endpoint, Map.Entry<String, Double> demand) {
    long seed = (endpoint + ' ' + demand.getKey()).hashCode();
    return demand.getValue() / -Math.log(1 - new SplittableRandom(seed).nextDouble());
  }
}
