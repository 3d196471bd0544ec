package org.magnoliavale.internal.engine;

/** Everything that an engine can answer to an order. */
public sealed interface OrderAnswer {
  /** The engine took the order and will report its outcome. */
  record Accepted() implements OrderAnswer {}

  /** The engine refused the order; it has no effect. */
  record Refused(String reason) implements OrderAnswer {}

  /** The answer was lost; the order may have been taken or may still arrive. */
  record Unknown(String reason) implements OrderAnswer {}

  /** No byte of the order left. */
  record NotSent(String reason) implements OrderAnswer {}
}
