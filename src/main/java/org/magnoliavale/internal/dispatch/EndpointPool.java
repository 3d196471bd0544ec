package org.magnoliavale.internal.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointDepartures;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.limit.EndpointLimits;
import org.magnoliavale.internal.route.EngineSpecification;

/**
 * Tracks the state of all endpoints as seen by this instance, and selects one for each attempt.
 * Thread-safe.
 *
 * <p>What is expected at each endpoint is forecast from the load that endpoints report to any
 * instance, from this instance's own requests, and from the speed that their answers have shown.
 * The selection draws between the endpoints that cost about the same, so that instances that know
 * the same do not all make the same choice.
 *
 * <p>An endpoint that disappears from the directory gets no new requests; its state is kept until
 * its last attempt has ended. Times are in nanoseconds of a monotonic clock.
 */
public final class EndpointPool {
  /** Longest pause between events that is on time, until a request has stated one. */
  private static final double DEFAULT_TARGET_GAP_MS = 300;

  private final EndpointLimits limits;
  private final EndpointTable table;
  private final LoadTable loads;
  private final EndpointChooser chooser;
  private final DoubleConsumer forecastErrors;
  private double targetGapMs = DEFAULT_TARGET_GAP_MS;
  private long updatedNanos;

  /**
   * Returns an empty pool that knows nothing of engines, and so turns no request away for want of
   * room or time.
   *
   * @param dataCentre the data centre of this instance
   * @param instances number of live instances in the fleet
   * @param departures endpoints that have left, which get no requests although they may be listed
   * @param limits how many requests endpoints take from the whole fleet
   * @param random source of the random draws in selections
   */
  public EndpointPool(
      String dataCentre,
      IntSupplier instances,
      EndpointDepartures departures,
      EndpointLimits limits,
      RandomGenerator random) {
    this(dataCentre, instances, departures, limits, random, service -> Optional.empty(), ms -> {});
  }

  /**
   * Returns an empty pool, as the other constructor.
   *
   * @param engines the engines of a service; empty if they are not known, or it has none
   * @param forecastErrors is told by how many milliseconds the forecast of each first event was
   *     wrong
   */
  public EndpointPool(
      String dataCentre,
      IntSupplier instances,
      EndpointDepartures departures,
      EndpointLimits limits,
      RandomGenerator random,
      Function<ServiceId, Optional<EngineSpecification>> engines,
      DoubleConsumer forecastErrors) {
    this.limits = limits;
    this.forecastErrors = forecastErrors;
    table = new EndpointTable(departures, random);
    loads = new LoadTable(table);
    chooser =
        new EndpointChooser(
            table,
            instances,
            limits,
            new EndpointForecaster(instances, engines),
            new EndpointDraw(dataCentre, random));
  }

  /** Applies a read of the directory. Attempts at endpoints that have disappeared continue. */
  public synchronized void update(Collection<DirectoryEntry> entries, long nowNanos) {
    updatedNanos = nowNanos;
    table.update(entries, nowNanos).forEach(limits::forget);
  }

  /**
   * Selects an endpoint for a request and counts the request as in flight there.
   *
   * @param connectionLimit connections that an endpoint accepts from the whole fleet
   */
  public synchronized EndpointChoice choose(
      SelectionCriteria criteria, int connectionLimit, long nowNanos) {
    criteria
        .urgency()
        .map(CallUrgency::targetGap)
        .ifPresent(gap -> recordTargetGap(gap.toMillis()));
    return switch (chooser.choose(criteria, connectionLimit, nowNanos)) {
      case EndpointChooser.Choice.Chosen(EndpointDraw.Candidate candidate) ->
          select(candidate, criteria, nowNanos);
      case EndpointChooser.Choice.None(EndpointChoice reason) -> reason;
    };
  }

  private void recordTargetGap(long milliseconds) {
    if (milliseconds > 0) {
      targetGapMs = milliseconds;
    }
  }

  /**
   * Selects an endpoint that is healthy and can take a request now, and counts the request as in
   * flight there; empty if there is none.
   *
   * @param connectionLimit connections that an endpoint accepts from the whole fleet
   */
  public synchronized Optional<EndpointChoice.Selected> chooseHealthy(
      SelectionCriteria criteria, int connectionLimit, long nowNanos) {
    return chooser
        .chooseHealthy(criteria, connectionLimit, nowNanos)
        .map(candidate -> select(candidate, criteria, nowNanos));
  }

  /**
   * Returns what is expected of a request at each endpoint of its service, and why one would not
   * get it. Changes nothing: the next choice is the same as without this call.
   *
   * @param connectionLimit connections that an endpoint accepts from the whole fleet
   */
  public synchronized List<EndpointForecast> forecasts(
      SelectionCriteria criteria, int connectionLimit, long nowNanos) {
    return chooser.forecasts(criteria, connectionLimit, nowNanos);
  }

  private EndpointChoice.Selected select(
      EndpointDraw.Candidate candidate, SelectionCriteria criteria, long nowNanos) {
    EndpointState state = candidate.state();
    EndpointForecast forecast = candidate.forecast();
    int uncachedTokens =
        criteria
            .generation()
            .map(generation -> generation.promptTokens() - forecast.cachedTokens())
            .orElse(0);
    SentRequest request = SentRequest.of(criteria.generation(), uncachedTokens, forecast, nowNanos);
    state.attemptStarted(request, criteria.generation(), nowNanos);
    limits.take(state.entry().identity());
    return new EndpointChoice.Selected(
        state.entry(), forecast, request, TimeUnit.NANOSECONDS.toMillis(nowNanos - updatedNanos));
  }

  /** Records that bytes were received from an endpoint. */
  public synchronized void recordActivity(EndpointIdentity identity, long nowNanos) {
    table.find(identity).ifPresent(state -> state.recordActivity(nowNanos));
  }

  /** Records the load that an endpoint reported with a response. */
  public synchronized void recordLoad(EndpointIdentity identity, ReportedLoad load, long nowNanos) {
    table
        .find(identity)
        .ifPresent(state -> state.loadEstimate().heard(load, state.outstanding(), nowNanos));
    loads.heard();
  }

  /** Records the first byte of the response to a request. */
  public synchronized void recordFirstByte(EndpointChoice.Selected choice, long nowNanos) {
    find(choice).ifPresent(state -> state.recordFirstByte(choice.request(), nowNanos));
  }

  /** Records an event of the stream that answers a request. */
  public synchronized void recordEvent(EndpointChoice.Selected choice, long nowNanos) {
    if (!choice.request().hasBegun()) {
      double firstEventMs =
          (double) (nowNanos - choice.request().sentNanos()) / TimeUnit.MILLISECONDS.toNanos(1);
      forecastErrors.accept(Math.abs(firstEventMs - choice.forecast().firstEventMs()));
    }
    find(choice).ifPresent(state -> state.recordEvent(choice.request(), nowNanos));
  }

  private Optional<EndpointState> find(EndpointChoice.Selected choice) {
    return table.find(choice.endpoint().identity());
  }

  /** Takes back a selection after which no attempt was made. */
  public synchronized void releaseSelection(EndpointChoice.Selected choice, long nowNanos) {
    limits.giveBack(choice.endpoint().identity());
    attemptEnded(choice, AttemptOutcome.INCONCLUSIVE, nowNanos);
  }

  /** Ends an attempt and records its outcome. */
  public synchronized void attemptEnded(
      EndpointChoice.Selected choice, AttemptOutcome outcome, long nowNanos) {
    if (choice.request().endOnce()) {
      find(choice).ifPresent(state -> state.attemptEnded(choice.request(), outcome, nowNanos));
    }
  }

  /** Ends the oldest attempt at an endpoint and records its outcome. */
  public synchronized void attemptEnded(
      EndpointIdentity identity, AttemptOutcome outcome, long nowNanos) {
    table
        .find(identity)
        .ifPresent(
            state ->
                state
                    .outstanding()
                    .oldest()
                    .filter(SentRequest::endOnce)
                    .ifPresent(request -> state.attemptEnded(request, outcome, nowNanos)));
  }

  /** Records that another incarnation answers at the address, so that this one has ended. */
  public synchronized void markReplaced(EndpointIdentity identity) {
    table.find(identity).ifPresent(EndpointState::markReplaced);
  }

  /** Records that an endpoint rejected a request because it does not hold an artifact. */
  public synchronized void recordMissing(
      EndpointIdentity identity, Artifact artifact, long nowNanos) {
    table.find(identity).ifPresent(state -> state.holdings().recordMissing(artifact, nowNanos));
  }

  /** Records that an artifact was loaded, before the endpoint's own entry shows it. */
  public synchronized void recordLoaded(String endpointId, Artifact artifact) {
    table.ofEndpoint(endpointId).forEach(state -> state.holdings().recordLoaded(artifact));
  }

  /** Records that an artifact is being unloaded, before the endpoint's own entry shows it. */
  public synchronized void recordUnloading(String endpointId, Artifact artifact, long nowNanos) {
    table
        .ofEndpoint(endpointId)
        .forEach(state -> state.holdings().recordUnloading(artifact, nowNanos));
  }

  /** Returns the reported loads that peers are to be told now, and counts them as told. */
  public synchronized List<LoadObservation> takeChangedLoads(boolean relayed, long nowNanos) {
    return loads.takeChanged(relayed, nowNanos);
  }

  /**
   * Returns whether there are loads to tell and the last ones were told long enough ago.
   *
   * @param intervalNanos least time between two tellings
   */
  public synchronized boolean hasChangedLoads(long intervalNanos, long nowNanos) {
    return loads.hasChanged(intervalNanos, nowNanos);
  }

  /** Applies the loads that a peer has told; of two reports the newer one counts. */
  public synchronized void learnLoads(Collection<LoadObservation> observations, long nowNanos) {
    loads.learn(observations, nowNanos);
  }

  /** Returns whether an endpoint has attempts in flight and has sent nothing for too long. */
  public synchronized boolean isUnresponsive(EndpointIdentity identity, long nowNanos) {
    return table.find(identity).map(state -> state.isUnresponsive(nowNanos)).orElse(false);
  }

  /**
   * Returns the number of endpoints that have attempts in flight and have sent nothing for long.
   */
  public synchronized int unresponsiveCount(long nowNanos) {
    return (int) table.all().filter(state -> state.isUnresponsive(nowNanos)).count();
  }

  /** Returns whether the last connection attempt to an endpoint failed a short time ago. */
  public synchronized boolean isUnreachable(EndpointIdentity identity, long nowNanos) {
    return table.find(identity).map(state -> state.isUnreachable(nowNanos)).orElse(false);
  }

  /**
   * Returns how much requests slow each other down, from 0 (not at all) to 1 (all of them); 1 also
   * for an endpoint that takes fewer than there are.
   */
  public synchronized double saturation(EndpointIdentity identity, long nowNanos) {
    return limits.isExceeded(identity)
        ? 1
        : table.find(identity).map(state -> state.saturation(targetGapMs, nowNanos)).orElse(0.0);
  }

  /** Returns whether an endpoint is listed and accepts new requests. */
  public synchronized boolean isAvailable(EndpointIdentity identity) {
    return table.find(identity).map(table::accepts).orElse(false);
  }

  /** Returns the identities of endpoints whose entries show them as draining. */
  public synchronized List<String> draining() {
    return table
        .all()
        .map(EndpointState::entry)
        .filter(DirectoryEntry::draining)
        .map(entry -> entry.identity().toString())
        .toList();
  }

  /** Returns whether an endpoint of a service that accepts new requests runs a version. */
  public synchronized boolean hasVersion(ServiceId service, SoftwareVersion version) {
    return table.ofService(service).stream()
        .filter(table::accepts)
        .anyMatch(state -> state.entry().softwareVersion().equals(version));
  }

  /** Returns the number of endpoints of a service that accept new requests. */
  public synchronized int size(ServiceId service) {
    return (int) table.ofService(service).stream().filter(table::accepts).count();
  }
}
