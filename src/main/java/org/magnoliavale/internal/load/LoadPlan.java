package org.magnoliavale.internal.load;

import java.time.Duration;
import java.util.List;

/**
 * Parameters of a load run.
 *
 * @param callers caller addresses of instances, used in rotation as by a load balancer
 * @param requestsPerSecond mean arrival rate
 * @param duration time during which requests are started
 * @param deadline deadline of each request, counted from its scheduled time
 * @param tokens tokens requested per completion
 * @param streamShare share of completions that are streamed, from 0 to 1
 * @param nonIdempotentShare share of requests that are non-idempotent, from 0 to 1
 * @param service service that receives the non-idempotent requests, or empty for none
 * @param burstFactor factor on the rate in the middle third of the run; 1 for no burst
 * @param seed seed of the arrival times and the request mix
 */
public record LoadPlan(
    List<String> callers,
    double requestsPerSecond,
    Duration duration,
    Duration deadline,
    int tokens,
    double streamShare,
    double nonIdempotentShare,
    String service,
    double burstFactor,
    long seed) {
  /** Copies the list. */
  public LoadPlan {
    callers = List.copyOf(callers);
  }

  /** Returns the arrival rate, in requests per second, at a time of the run. */
  double rateAt(double secondsSinceStart) {
    double durationSeconds = duration.toMillis() / 1_000.0;
    boolean inBurst =
        secondsSinceStart > durationSeconds / 3 && secondsSinceStart < 2 * durationSeconds / 3;
    return inBurst ? requestsPerSecond * burstFactor : requestsPerSecond;
  }
}
