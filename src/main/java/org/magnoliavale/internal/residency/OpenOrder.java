package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.dispatch.Artifact;

/**
 * An order whose effect the endpoint's entry does not show yet.
 *
 * @param order the order
 * @param sentNanos when it was sent last
 * @param certain whether the endpoint said that it carries it out
 * @param copies how often it was sent again
 * @param heartbeat the endpoint's heartbeat that was known when it said so
 */
record OpenOrder(EndpointOrder order, long sentNanos, boolean certain, int copies, long heartbeat) {
  boolean isModel() {
    return order.artifact().adapter().isEmpty();
  }

  boolean isLoad() {
    return order.operation() == EndpointOrder.Operation.LOAD;
  }

  Artifact artifact() {
    return order.artifact();
  }

  OpenOrder accepted(long knownHeartbeat) {
    return new OpenOrder(order, sentNanos, true, copies, knownHeartbeat);
  }

  OpenOrder sentAgain(long nowNanos) {
    return new OpenOrder(order, nowNanos, certain, copies + 1, heartbeat);
  }
}
