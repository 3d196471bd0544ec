package org.magnoliavale.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Which of the loads that endpoints have reported is still to be told to peers, and what peers have
 * told. Not thread-safe.
 */
final class LoadTable {
  /** Time after which a newer report with the same figures is told again. */
  private static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private record Told(ReportedLoad load, long reportNanos) {}

  private final EndpointTable endpoints;
  private final Map<Integer, Told> told = new HashMap<>();
  private boolean lastRelayed;

  /** Whether there has been a report that may be told since the last time that any were. */
  private boolean reported;

  private long lastTakenNanos;

  LoadTable(EndpointTable endpoints) {
    this.endpoints = endpoints;
  }

  /**
   * Returns the valid reports that have changed since they were last told, and counts them as told.
   *
   * @param relayed whether those that peers have told are returned too
   */
  List<LoadObservation> takeChanged(boolean relayed, long nowNanos) {
    lastRelayed = relayed;
    lastTakenNanos = nowNanos;
    reported = false;
    List<LoadObservation> changed = new ArrayList<>();
    changed(relayed, nowNanos)
        .forEach(
            state -> {
              LoadEstimate load = state.loadEstimate();
              told.put(state.loadKey(), new Told(load.report(), load.reportNanos()));
              changed.add(
                  new LoadObservation(state.loadKey(), load.report(), load.ageMs(nowNanos)));
            });
    told.values().removeIf(entry -> nowNanos - entry.reportNanos() > forgottenAfterNanos());
    return changed;
  }

  /**
   * Returns whether there are reports to tell and the last ones were told long enough ago.
   *
   * @param intervalNanos least time between two tellings
   */
  boolean hasChanged(long intervalNanos, long nowNanos) {
    return reported
        && nowNanos - lastTakenNanos >= intervalNanos
        && changed(lastRelayed, nowNanos).findAny().isPresent();
  }

  private void learn(EndpointState state, ReportedLoad load, long reportNanos) {
    boolean newer = state.loadEstimate().learned(load, state.outstanding(), reportNanos);
    reported |= newer && lastRelayed;
  }

  /** Notes that an endpoint has reported its load to this instance. */
  void heard() {
    reported = true;
  }

  private Stream<EndpointState> changed(boolean relayed, long nowNanos) {
    return endpoints
        .all()
        .filter(state -> state.loadEstimate().isValid(nowNanos))
        .filter(state -> relayed || state.loadEstimate().isHeardHere())
        .filter(this::isChanged);
  }

  private static long forgottenAfterNanos() {
    return 2 * TimeUnit.MILLISECONDS.toNanos(LoadEstimate.VALIDITY_MS);
  }

  private boolean isChanged(EndpointState state) {
    Told last = told.get(state.loadKey());
    LoadEstimate load = state.loadEstimate();
    if (last == null) {
      return true;
    }
    boolean different = !last.load().equals(load.report());
    long newerNanos = load.reportNanos() - last.reportNanos();
    return newerNanos > (different ? 0 : REPEAT_NANOS);
  }

  /** Applies what a peer has told; what is not of a known endpoint is ignored. */
  void learn(Collection<LoadObservation> observations, long nowNanos) {
    for (LoadObservation observation : observations) {
      if (observation.ageMs() <= LoadEstimate.VALIDITY_MS) {
        long reportNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(observation.ageMs());
        endpoints
            .findByLoadKey(observation.endpoint())
            .ifPresent(state -> learn(state, observation.load(), reportNanos));
      }
    }
  }
}
