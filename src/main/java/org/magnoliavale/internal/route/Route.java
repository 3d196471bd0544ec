package org.magnoliavale.internal.route;

import java.time.Duration;
import java.util.List;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * One route: which calls it takes and how they are carried.
 *
 * @param name the operator's name of the route
 * @param host host that callers name, in lower case
 * @param prefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another endpoint after its last event
 * @param priority rank, 0 is the most urgent
 * @param attempts most endpoints that may run one call
 * @param timeout longest time that a call may take
 * @param targetLatency time within which an answer earns its full worth
 * @param services where its calls go, by share
 */
public record Route(
    String name,
    String host,
    String prefix,
    CallKind kind,
    boolean resumable,
    int priority,
    int attempts,
    Duration timeout,
    Duration targetLatency,
    List<WeightedService> services) {
  /** Takes a copy of the shares. */
  public Route {
    services = List.copyOf(services);
  }

  /** Tells whether a call may be sent again after it may have run. */
  public boolean isRepeatable() {
    return kind == CallKind.SAFE || kind == CallKind.STREAM && resumable;
  }

  /** Returns the service for a call; {@code draw} is uniform in [0, 1). */
  public ServiceId pick(double draw) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double left = draw * total;
    for (WeightedService share : services) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return services.getLast().service();
  }
}
