package org.magnoliavale.internal.routing;

import java.util.concurrent.atomic.AtomicInteger;

/** How an endpoint is chosen among those that can serve a request. */
public sealed interface RoutingPolicy {
  /** Takes the endpoints in turn. A baseline. */
  record RoundRobin(AtomicInteger turn) implements RoutingPolicy {}

  /** Takes the endpoint with the lowest reported load. A baseline. */
  record LeastReported() implements RoutingPolicy {}

  /** Takes the endpoint with the fewest requests of this instance. A baseline. */
  record LeastInFlight() implements RoutingPolicy {}

  /** Takes the endpoint that should finish the request first, of two drawn at random. */
  record EarliestFinish() implements RoutingPolicy {}

  /** Returns the policy that a word of the settings names. */
  static RoutingPolicy named(String word) {
    return switch (word) {
      case "round-robin" -> new RoundRobin(new AtomicInteger());
      case "least-reported" -> new LeastReported();
      case "least-in-flight" -> new LeastInFlight();
      case "earliest-finish" -> new EarliestFinish();
      default -> throw new IllegalArgumentException("no such routing policy: " + word);
    };
  }
}
