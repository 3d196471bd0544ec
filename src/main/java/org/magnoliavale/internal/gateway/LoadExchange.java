package org.magnoliavale.internal.gateway;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.LoadObservation;
import org.magnoliavale.internal.dispatch.ReportedLoad;
import org.magnoliavale.internal.link.LoadRows;
import org.magnoliavale.internal.link.PeerLinks;
import org.magnoliavale.internal.link.protocol.Heartbeat;

/**
 * The part of heartbeats that concerns the loads that endpoints report.
 *
 * @param endpoints the endpoints that this instance knows
 */
record LoadExchange(EndpointPool endpoints) {
  /** Least time between two tellings, other than in heartbeats that are sent anyway. */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Most requests, or slots, that a report may name. */
  private static final int MAXIMUM_REQUESTS = 100_000;

  private static final int MAXIMUM_SLOWDOWN_PERCENT = 10_000;

  /** Longest time since a report that is told; it also bounds what a peer may send. */
  private static final int MAXIMUM_AGE_MS = 10_000;

  /**
   * Adds the loads that have changed since the last heartbeat.
   *
   * @param relayed whether those that peers have told are added too
   */
  void addTo(Heartbeat.Builder heartbeat, boolean relayed, long nowNanos) {
    for (LoadObservation observation : endpoints.takeChangedLoads(relayed, nowNanos)) {
      ReportedLoad load = observation.load();
      LoadRows.add(
          heartbeat,
          new LoadRows.Row(
              observation.endpoint(),
              (int) Math.min(observation.ageMs(), MAXIMUM_AGE_MS),
              load.running(),
              load.waiting(),
              load.slots(),
              load.slowdownPercent()));
    }
  }

  /**
   * Returns whether peers are to be told loads before the next heartbeat. In a small fleet each
   * instance hears of every endpoint often enough from the answers to its own requests; in a larger
   * one it does not, and what it hears of others is worth the less the later it comes.
   *
   * @param instances number of live instances in the fleet
   */
  boolean isDue(int instances, long nowNanos) {
    return !PeerLinks.isMesh(instances) && endpoints.hasChangedLoads(INTERVAL_NANOS, nowNanos);
  }

  /** Applies a peer's heartbeat; rows that make no sense are ignored. */
  void apply(Heartbeat heartbeat, long nowNanos) {
    List<LoadObservation> observations =
        LoadRows.of(heartbeat).stream()
            .map(LoadExchange::toObservation)
            .flatMap(Optional::stream)
            .toList();
    if (!observations.isEmpty()) {
      endpoints.learnLoads(observations, nowNanos);
    }
  }

  private static Optional<LoadObservation> toObservation(LoadRows.Row row) {
    boolean sound =
        isWithin(row.ageMs(), MAXIMUM_AGE_MS)
            && isWithin(row.running(), MAXIMUM_REQUESTS)
            && isWithin(row.waiting(), MAXIMUM_REQUESTS)
            && isWithin(row.slots(), MAXIMUM_REQUESTS)
            && isWithin(row.slowdownPercent(), MAXIMUM_SLOWDOWN_PERCENT)
            && row.slowdownPercent() > 0;
    if (!sound) {
      return Optional.empty();
    }
    ReportedLoad load =
        new ReportedLoad(row.running(), row.waiting(), row.slots(), row.slowdownPercent());
    return Optional.of(new LoadObservation(row.endpoint(), load, row.ageMs()));
  }

  private static boolean isWithin(int value, int maximum) {
    return value >= 0 && value <= maximum;
  }
}
