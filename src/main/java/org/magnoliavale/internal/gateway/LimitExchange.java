package org.magnoliavale.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.link.protocol.EndpointLimit;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.LimitedDemand;

/**
 * The part of heartbeats that concerns the limits of endpoints.
 *
 * @param limits the limits that this instance knows
 */
record LimitExchange(EndpointLimits limits) implements HeartbeatPart {
  /** Longest time since a statement that is believed; it also bounds what a peer may send. */
  private static final long MAXIMUM_AGE_MS = TimeUnit.DAYS.toMillis(1);

  /** Highest rate that is believed, in requests a second. */
  private static final double MAXIMUM_RATE = 1_000_000_000;

  /** Adds what endpoints have said to this instance, and how much it would send to them. */
  @Override
  public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
    for (EndpointLimits.Statement statement : limits.statements(nowNanos)) {
      heartbeat
          .addLimitsBuilder()
          .setEndpoint(statement.endpoint().toString())
          .setRequestsPerSecond(statement.limit().orElse(0))
          .setAgeMs(TimeUnit.NANOSECONDS.toMillis(Math.max(0, statement.ageNanos())));
    }
    for (EndpointLimits.Demand demand : limits.demands(nowNanos)) {
      heartbeat
          .addLimitedDemandBuilder()
          .setEndpoint(demand.endpoint().toString())
          .setRequestsPerSecond(demand.requestsPerSecond());
    }
  }

  @Override
  public void apply(String peer, Heartbeat heartbeat, long nowNanos) {
    for (EndpointLimit limit : heartbeat.getLimitsList()) {
      if (isRate(limit.getRequestsPerSecond()) && isAge(limit.getAgeMs())) {
        limits.learn(toStatement(limit), nowNanos);
      }
    }
    List<EndpointLimits.Demand> demands = new ArrayList<>();
    for (LimitedDemand demand : heartbeat.getLimitedDemandList()) {
      if (isRate(demand.getRequestsPerSecond())) {
        demands.add(
            new EndpointLimits.Demand(
                EndpointIdentity.parse(demand.getEndpoint()), demand.getRequestsPerSecond()));
      }
    }
    limits.learnDemand(peer, demands);
  }

  private static EndpointLimits.Statement toStatement(EndpointLimit limit) {
    double rate = limit.getRequestsPerSecond();
    return new EndpointLimits.Statement(
        EndpointIdentity.parse(limit.getEndpoint()),
        rate > 0 ? OptionalDouble.of(rate) : OptionalDouble.empty(),
        TimeUnit.MILLISECONDS.toNanos(limit.getAgeMs()));
  }

  private static boolean isRate(double value) {
    return value >= 0 && value <= MAXIMUM_RATE;
  }

  private static boolean isAge(long milliseconds) {
    return milliseconds >= 0 && milliseconds <= MAXIMUM_AGE_MS;
  }
}
