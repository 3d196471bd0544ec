package org.magnoliavale.internal.routing;

import java.util.concurrent.atomic.AtomicInteger;

/** Rule for selecting one of the endpoints that can serve a request. */
public sealed interface RoutingPolicy {
  /** Selects the endpoints in turn. A baseline for comparison. */
  record RoundRobin(AtomicInteger counter) implements RoutingPolicy {}

  /** Selects the endpoint with the lowest reported load. A baseline for comparison. */
  record LeastReported() implements RoutingPolicy {}

  /** Selects the endpoint with the fewest requests of this instance. A baseline for comparison. */
  record LeastInFlight() implements RoutingPolicy {}

  /** Selects, of two endpoints drawn at random, the one with the earlier estimated finish. */
  record EarliestFinish() implements RoutingPolicy {}

  /**
   * Returns the policy with the given name in the settings.
   *
   * @throws IllegalArgumentException if there is no such policy
   */
  static RoutingPolicy named(String name) {
    return switch (name) {
      case "round-robin" -> new RoundRobin(new AtomicInteger());
      case "least-reported" -> new LeastReported();
      case "least-in-flight" -> new LeastInFlight();
      case "earliest-finish" -> new EarliestFinish();
      default -> throw new IllegalArgumentException("unknown routing policy: " + name);
    };
  }
}
