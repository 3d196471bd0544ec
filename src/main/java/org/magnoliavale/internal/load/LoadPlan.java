package org.magnoliavale.internal.load;

import java.time.Duration;
import java.util.List;

/**
 * What a load run does.
 *
 * @param callers caller addresses of instances, used in turn as a balancer would
 * @param requestsPerSecond mean rate of arrivals
 * @param duration how long requests are started
 * @param deadline time by which an answer counts as in time
 * @param tokens tokens that each completion asks for
 * @param streamShare share of completions that are streamed
 * @param orderShare share of requests that are orders
 * @param service service that takes the orders, or empty for no orders
 * @param burstFactor factor of the rate in the middle third of the run; 1 for none
 * @param seed seed of arrivals and mixes
 */
public record LoadPlan(
    List<String> callers,
    double requestsPerSecond,
    Duration duration,
    Duration deadline,
    int tokens,
    double streamShare,
    double orderShare,
    String service,
    double burstFactor,
    long seed) {
  /** Takes a copy. */
  public LoadPlan {
    callers = List.copyOf(callers);
  }

  /** Returns the rate of arrivals at a moment of the run. */
  double rateAt(double secondsSinceStart) {
    double length = duration.toMillis() / 1_000.0;
    boolean middle = secondsSinceStart > length / 3 && secondsSinceStart < 2 * length / 3;
    return middle ? requestsPerSecond * burstFactor : requestsPerSecond;
  }
}
