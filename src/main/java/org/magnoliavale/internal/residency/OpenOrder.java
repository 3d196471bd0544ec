package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.dispatch.Artifact;

/**
 * A command whose effect the endpoint's directory entry does not show yet.
 *
 * @param order the command
 * @param sentNanos when it was last sent
 * @param certain whether the endpoint is known to have accepted it
 * @param copies how often it was sent again
 * @param heartbeat the endpoint's last known heartbeat when it was accepted
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
