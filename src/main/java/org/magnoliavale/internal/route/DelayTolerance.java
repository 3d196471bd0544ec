package org.magnoliavale.internal.route;

import java.time.Duration;
import java.util.Optional;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * Whether calls of a route can wait until their model is loaded and still be answered in time.
 *
 * <p>Their target must leave time for a load, and be far longer than the shortest target of the
 * service: calls of similar targets compete for the same moments, and none of them gives way.
 */
public final class DelayTolerance {
  /**
   * Least ratio of a target to the shortest one of the service, if there are others. Targets within
   * it belong to callers who look on.
   */
  private static final int MINIMUM_RATIO = 6;

  /**
   * Part of a load from the weight store that a target has to leave time for. Weights also come
   * from disks and memory, and a load may have begun when the call arrives.
   */
  private static final int LOAD_TIME_DIVISOR = 2;

  private DelayTolerance() {}

  /**
   * Returns whether calls of a route are delay-tolerant.
   *
   * @param model the model that they need; empty if none
   */
  public static boolean of(
      RouteTable routes, Route route, ServiceId service, Optional<String> model) {
    Duration target = route.targetLatency();
    return model
            .flatMap(name -> loadTime(routes, service, name))
            .filter(load -> target.compareTo(load) >= 0)
            .isPresent()
        && (!routes.hasDifferentTargets(service)
            || target.compareTo(routes.leastTarget(service).multipliedBy(MINIMUM_RATIO)) >= 0);
  }

  /** Returns the time that a target has to leave for a load; empty if the model is unknown. */
  private static Optional<Duration> loadTime(RouteTable routes, ServiceId service, String model) {
    return routes
        .service(service)
        .flatMap(ServiceSpecification::engine)
        .flatMap(engine -> engine.model(model))
        .map(known -> known.storeLoadTime().dividedBy(LOAD_TIME_DIVISOR))
        .filter(Duration::isPositive);
  }
}
