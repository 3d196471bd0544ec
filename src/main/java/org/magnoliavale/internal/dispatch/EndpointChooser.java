package org.magnoliavale.internal.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.EndpointDraw.Candidate;
import org.magnoliavale.internal.limit.EndpointLimits;

/**
 * Decides which endpoint gets a request, and says of each one what is expected there or why it is
 * left out. Changes no state except that of the random numbers. Not thread-safe.
 */
final class EndpointChooser {
  /** First events of which a service's pace must be known before requests are turned away. */
  private static final double CERTAIN_SAMPLES = 50;

  /** Doubt about an endpoint's speed up to which its forecast may turn a request away. */
  private static final double CERTAIN_DOUBT = 0.3;

  /** Share of the forecast time after which the first event may come at the earliest. */
  private static final double EARLIEST_SHARE = 0.6;

  private static final Duration SHORTEST_TIME_TO_ROOM = Duration.ofMillis(20);
  private static final Duration LONGEST_TIME_TO_ROOM = Duration.ofSeconds(5);

  private final EndpointTable table;
  private final IntSupplier instances;
  private final EndpointLimits limits;
  private final EndpointForecaster forecaster;
  private final EndpointDraw draw;

  EndpointChooser(
      EndpointTable table,
      IntSupplier instances,
      EndpointLimits limits,
      EndpointForecaster forecaster,
      EndpointDraw draw) {
    this.table = table;
    this.instances = instances;
    this.limits = limits;
    this.forecaster = forecaster;
    this.draw = draw;
  }

  /** Result of a choice: a candidate, or why there is none. */
  sealed interface Choice {
    /** The endpoint that gets the request. */
    record Chosen(Candidate candidate) implements Choice {}

    /** None gets it. */
    record None(EndpointChoice reason) implements Choice {}
  }

  Choice choose(SelectionCriteria criteria, int connectionLimit, long nowNanos) {
    List<EndpointState> states = new ArrayList<>(table.ofService(criteria.service()));
    states.removeIf(state -> !isPossible(state, criteria));
    if (states.isEmpty()) {
      return new Choice.None(new EndpointChoice.Unavailable("no endpoint available"));
    }
    states.removeIf(state -> !holdsArtifact(state, criteria, nowNanos));
    if (states.isEmpty()) {
      return new Choice.None(
          new EndpointChoice.AwaitArtifact(criteria.generation().orElseThrow().artifact()));
    }
    states.removeIf(state -> usesAllConnections(state, connectionLimit));
    if (states.isEmpty()) {
      return new Choice.None(
          new EndpointChoice.Unavailable("connection limit reached at all endpoints"));
    }
    states.forEach(state -> limits.recordWanted(state.entry().identity(), nowNanos));
    Optional<Duration> timeToNext = removeLimited(states, nowNanos);
    if (states.isEmpty()) {
      return new Choice.None(new EndpointChoice.Deferred(timeToNext.orElse(Duration.ZERO)));
    }
    List<EndpointState> healthy = new ArrayList<>(states);
    healthy.removeIf(state -> !state.isHealthy(nowNanos));
    return healthy.isEmpty()
        ? new Choice.Chosen(draw(candidates(states, criteria, nowNanos), criteria, nowNanos))
        : chooseWithRoom(candidates(healthy, criteria, nowNanos), criteria, nowNanos);
  }

  /** Returns a healthy endpoint that can take the request now; empty if there is none. */
  Optional<Candidate> chooseHealthy(
      SelectionCriteria criteria, int connectionLimit, long nowNanos) {
    List<EndpointState> states = new ArrayList<>(table.ofService(criteria.service()));
    states.removeIf(
        state ->
            !isPossible(state, criteria)
                || !state.isHealthy(nowNanos)
                || !holdsArtifact(state, criteria, nowNanos)
                || usesAllConnections(state, connectionLimit));
    removeLimited(states, nowNanos);
    return states.isEmpty()
        ? Optional.empty()
        : Optional.of(draw(candidates(states, criteria, nowNanos), criteria, nowNanos));
  }

  private Choice chooseWithRoom(
      List<Candidate> candidates, SelectionCriteria criteria, long nowNanos) {
    double share = forecaster.share(table.ofService(criteria.service()), nowNanos);
    List<Candidate> withRoom = new ArrayList<>(candidates);
    withRoom.removeIf(
        candidate ->
            forecaster
                .withoutRoom(candidate.state(), candidate.forecast(), criteria, share, nowNanos)
                .isPresent());
    if (withRoom.isEmpty()) {
      return new Choice.None(new EndpointChoice.Busy(timeToRoom(candidates, criteria)));
    }
    return tooLate(withRoom, criteria, nowNanos)
        .<Choice>map(Choice.None::new)
        .orElseGet(() -> new Choice.Chosen(draw(withRoom, criteria, nowNanos)));
  }

  private Duration timeToRoom(List<Candidate> candidates, SelectionCriteria criteria) {
    double milliseconds =
        candidates.stream()
            .mapToDouble(
                candidate ->
                    forecaster.timeToRoomMs(candidate.state(), candidate.forecast(), criteria))
            .min()
            .orElse(0);
    Duration time = Duration.ofMillis((long) milliseconds);
    if (time.compareTo(SHORTEST_TIME_TO_ROOM) < 0) {
      return SHORTEST_TIME_TO_ROOM;
    }
    return time.compareTo(LONGEST_TIME_TO_ROOM) > 0 ? LONGEST_TIME_TO_ROOM : time;
  }

  /** Returns that no endpoint can answer before the deadline, if that is certain of all of them. */
  private static Optional<EndpointChoice> tooLate(
      List<Candidate> candidates, SelectionCriteria criteria, long nowNanos) {
    if (criteria.urgency().isEmpty()
        || criteria.generation().isEmpty()
        || !candidates.stream().allMatch(candidate -> isCertain(candidate, nowNanos))) {
      return Optional.empty();
    }
    double firstEventMs =
        candidates.stream()
            .mapToDouble(candidate -> candidate.forecast().firstEventMs())
            .min()
            .orElseThrow();
    double deadlineMs = criteria.urgency().get().timeToDeadline().toMillis();
    return firstEventMs * EARLIEST_SHARE > deadlineMs
        ? Optional.of(new EndpointChoice.TooLate(Duration.ofMillis((long) firstEventMs)))
        : Optional.empty();
  }

  private static boolean isCertain(Candidate candidate, long nowNanos) {
    EndpointState state = candidate.state();
    return candidate.forecast().memoryLeft().isPresent()
        && state.loadEstimate().isCertain(nowNanos)
        && state.pace().samples() >= CERTAIN_SAMPLES
        && state.speed().doubt(nowNanos) <= CERTAIN_DOUBT;
  }

  private List<Candidate> candidates(
      List<EndpointState> states, SelectionCriteria criteria, long nowNanos) {
    return states.stream()
        .map(state -> new Candidate(state, forecaster.forecast(state, criteria, nowNanos)))
        .toList();
  }

  private Candidate draw(List<Candidate> candidates, SelectionCriteria criteria, long nowNanos) {
    return candidates.size() == 1
        ? candidates.getFirst()
        : draw.draw(candidates, criteria, nowNanos);
  }

  /** Returns what is expected of a request at each endpoint of its service. */
  List<EndpointForecast> forecasts(SelectionCriteria criteria, int connectionLimit, long nowNanos) {
    double share = forecaster.share(table.ofService(criteria.service()), nowNanos);
    return table.ofService(criteria.service()).stream()
        .map(
            state -> {
              EndpointForecast forecast = forecaster.forecast(state, criteria, nowNanos);
              return exclusion(state, forecast, criteria, connectionLimit, share, nowNanos)
                  .map(forecast::excludedFor)
                  .orElse(forecast);
            })
        .sorted(Comparator.comparing(forecast -> forecast.endpoint().toString()))
        .toList();
  }

  private Optional<EndpointExclusion> exclusion(
      EndpointState state,
      EndpointForecast forecast,
      SelectionCriteria criteria,
      int connectionLimit,
      double share,
      long nowNanos) {
    EndpointIdentity identity = state.entry().identity();
    if (!table.accepts(state)) {
      return Optional.of(EndpointExclusion.LEAVING);
    }
    if (!criteria.allows(state.entry().softwareVersion())) {
      return Optional.of(EndpointExclusion.OTHER_VERSION);
    }
    if (criteria.excluded().contains(identity)) {
      return Optional.of(EndpointExclusion.TRIED);
    }
    if (!holdsArtifact(state, criteria, nowNanos)) {
      return Optional.of(EndpointExclusion.ARTIFACT_MISSING);
    }
    if (usesAllConnections(state, connectionLimit)) {
      return Optional.of(EndpointExclusion.CONNECTIONS_USED);
    }
    if (!limits.allows(identity, nowNanos)) {
      return Optional.of(EndpointExclusion.LIMITED);
    }
    if (!state.isHealthy(nowNanos)) {
      return Optional.of(EndpointExclusion.UNHEALTHY);
    }
    return forecaster.withoutRoom(state, forecast, criteria, share, nowNanos);
  }

  private boolean isPossible(EndpointState state, SelectionCriteria criteria) {
    return table.accepts(state)
        && criteria.allows(state.entry().softwareVersion())
        && !criteria.excluded().contains(state.entry().identity());
  }

  /** Returns whether an endpoint holds what a request needs; one for no model needs nothing. */
  private static boolean holdsArtifact(
      EndpointState state, SelectionCriteria criteria, long nowNanos) {
    return criteria
        .generation()
        .map(generation -> state.holds(generation.artifact(), nowNanos))
        .orElse(true);
  }

  /** Returns whether this instance uses its share of the connections to an endpoint. */
  private boolean usesAllConnections(EndpointState state, int connectionLimit) {
    int share = Math.max(1, connectionLimit / Math.max(1, instances.getAsInt()));
    return state.outstanding().size() >= share;
  }

  /**
   * Removes the endpoints that take no request of this instance now; returns the time until the
   * first of them may take one.
   */
  private Optional<Duration> removeLimited(List<EndpointState> states, long nowNanos) {
    List<EndpointIdentity> limited =
        states.stream()
            .map(state -> state.entry().identity())
            .filter(identity -> !limits.allows(identity, nowNanos))
            .toList();
    states.removeIf(state -> limited.contains(state.entry().identity()));
    return limited.stream()
        .map(identity -> limits.timeToNext(identity, nowNanos))
        .min(Comparator.naturalOrder());
  }
}
