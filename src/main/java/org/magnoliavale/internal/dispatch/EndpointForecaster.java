package org.magnoliavale.internal.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.route.EngineSpecification;

/**
 * Forecasts what happens to a request at an endpoint. Changes no state.
 *
 * @param instances number of live instances in the fleet
 * @param engines the engines of a service; empty if they are not known, or it has none
 */
record EndpointForecaster(
    IntSupplier instances, Function<ServiceId, Optional<EngineSpecification>> engines) {
  /**
   * Requests that an endpoint may have beyond its slots, as a share of them. They take the slots
   * that come free without a gap; more of them would only wait at one endpoint while there is room
   * at others.
   */
  private static final double QUEUE_SHARE = 0.25;

  /**
   * Further requests that an endpoint may have for each step of priority above the least urgent
   * ones, as a share of its slots: engines admit the more urgent requests first, so these don't
   * wait behind the others there.
   */
  private static final double URGENT_SHARE = 0.5;

  /** Priority from which on requests have no further room; 0 is the most urgent. */
  private static final int LEAST_URGENT_PRIORITY = 2;

  /** Share of an engine's memory that requests may take; their output is only estimated. */
  private static final double MEMORY_SHARE = 0.9;

  EndpointForecast forecast(EndpointState state, SelectionCriteria criteria, long nowNanos) {
    return criteria
        .generation()
        .map(generation -> engine(state, generation, nowNanos))
        .orElseGet(() -> plain(state, nowNanos));
  }

  private EndpointForecast plain(EndpointState state, long nowNanos) {
    double requests = requests(state, state.pace().plainMs(), nowNanos);
    double waitMs = slotWaitMs(state, requests, state.pace().plainMs());
    return new EndpointForecast(
        state.entry().identity(),
        Math.max(state.firstByteMs(), state.pace().plainMs()) + waitMs,
        0,
        requests,
        0,
        0,
        OptionalDouble.empty(),
        state.loadEstimate().ageMs(nowNanos),
        1,
        Optional.empty());
  }

  private EndpointForecast engine(
      EndpointState state, GenerationRequest generation, long nowNanos) {
    ServicePace pace = state.pace();
    double speedFactor = state.speed().timeFactor(nowNanos);
    double residenceMs = pace.residenceMs() * speedFactor;
    double requests = requests(state, residenceMs, nowNanos);
    double unreadTokens = unreadTokens(state, residenceMs, nowNanos);
    int uncachedTokens = state.prefixCache().uncachedTokens(generation);
    double timeFactor = speedFactor * state.loadEstimate().slowdown(nowNanos);
    double running = Math.min(requests + 1, state.entry().slots());
    return new EndpointForecast(
        state.entry().identity(),
        pace.firstEventMs(unreadTokens + uncachedTokens) * timeFactor
            + slotWaitMs(state, requests, residenceMs),
        pace.eventIntervalMs(running) * timeFactor,
        requests,
        unreadTokens,
        generation.promptTokens() - uncachedTokens,
        memoryLeft(state, requests),
        state.loadEstimate().ageMs(nowNanos),
        timeFactor,
        Optional.empty());
  }

  /** Estimates the current requests at an endpoint, including those of other instances. */
  private double requests(EndpointState state, double residenceMs, long nowNanos) {
    int own = state.outstanding().size();
    LoadEstimate load = state.loadEstimate();
    return load.isValid(nowNanos)
        ? load.others(residenceMs, nowNanos) + own
        : (double) own * Math.max(1, instances.getAsInt());
  }

  private static double unreadTokens(EndpointState state, double residenceMs, long nowNanos) {
    LoadEstimate load = state.loadEstimate();
    if (!load.isValid(nowNanos)) {
      return state.outstanding().unreadTokens();
    }
    double promptTokens = state.pace().uncachedTokens();
    double promptMs = promptTokens * state.pace().msPerPromptToken();
    return state.outstanding().unreadTokens()
        + load.othersWaiting(residenceMs, promptMs, nowNanos) * promptTokens;
  }

  /** Returns the time until a slot is free, if all are taken. */
  private static double slotWaitMs(EndpointState state, double requests, double residenceMs) {
    int slots = Math.max(1, state.entry().slots());
    return Math.max(0, requests - slots + 1) * residenceMs / slots;
  }

  private OptionalDouble memoryLeft(EndpointState state, double requests) {
    Optional<EngineSpecification> engine = engines.apply(state.entry().service());
    if (engine.isEmpty()) {
      return OptionalDouble.empty();
    }
    double others = Math.max(0, requests - state.outstanding().size());
    double used = state.outstanding().memoryTokens() + others * state.pace().privateTokens();
    return OptionalDouble.of(engine.get().keyValueCacheTokens() * MEMORY_SHARE - used);
  }

  /**
   * Returns why an endpoint has no room for a request; empty if it has, and also if its load is not
   * known for certain, since an endpoint that is not full must not be left out.
   *
   * @param share this instance's share of the fleet's requests, as {@link #share} returns it
   */
  Optional<EndpointExclusion> withoutRoom(
      EndpointState state,
      EndpointForecast forecast,
      SelectionCriteria criteria,
      double share,
      long nowNanos) {
    Optional<GenerationRequest> generation = criteria.generation();
    LoadEstimate load = state.loadEstimate();
    if (generation.isEmpty() || forecast.memoryLeft().isEmpty() || load.report() == null) {
      return Optional.empty();
    }
    if (isFull(state, forecast, maximumRequests(state, criteria), share, nowNanos)) {
      return Optional.of(EndpointExclusion.FULL);
    }
    double needed = state.outstanding().additionalTokens(generation.get());
    // A request that fits into no endpoint beside others has to be alone there.
    boolean others = forecast.requests() >= 1;
    return load.isCertain(nowNanos) && others && needed > forecast.memoryLeft().getAsDouble()
        ? Optional.of(EndpointExclusion.MEMORY_FULL)
        : Optional.empty();
  }

  private static boolean isFull(
      EndpointState state, EndpointForecast forecast, double maximum, double share, long nowNanos) {
    LoadEstimate load = state.loadEstimate();
    if (load.isCertain(nowNanos)) {
      int sent = state.outstanding().sentAfter(load.reportNanos());
      return forecast.requests() + 1 > maximum || sent >= load.claim(maximum, share);
    }
    // One that was full and says nothing since may be stuck; the others of a fleet try it too.
    boolean wasFull = load.reported() >= state.entry().slots();
    return wasFull && state.outstanding().size() >= Math.max(1, (int) (maximum * share));
  }

  /** Returns how many requests an endpoint may have before one more is sent there. */
  private static double maximumRequests(EndpointState state, SelectionCriteria criteria) {
    ReportedLoad report = state.loadEstimate().report();
    int slots = Math.max(state.entry().slots(), report == null ? 1 : report.slots());
    int priority = criteria.urgency().map(CallUrgency::priority).orElse(LEAST_URGENT_PRIORITY);
    int steps = Math.max(0, LEAST_URGENT_PRIORITY - priority);
    return slots + Math.ceil((QUEUE_SHARE + steps * URGENT_SHARE) * slots);
  }

  /** Estimates which share of all requests to a service this instance sends. */
  double share(List<EndpointState> states, long nowNanos) {
    double own = 0;
    double all = 0;
    for (EndpointState state : states) {
      own += state.outstanding().size();
      all += requests(state, state.pace().residenceMs(), nowNanos);
    }
    int fleet = Math.max(1, instances.getAsInt());
    return Math.clamp((own + 1) / (all + fleet), 1.0 / fleet, 1);
  }

  /** Returns the time until an endpoint without room is expected to have some. */
  double timeToRoomMs(EndpointState state, EndpointForecast forecast, SelectionCriteria criteria) {
    double residenceMs = state.pace().residenceMs() * forecast.timeFactor();
    double surplus = Math.max(0, forecast.requests() - maximumRequests(state, criteria)) + 1;
    double ending = Math.clamp(forecast.requests(), 1, Math.max(1, state.entry().slots()));
    return surplus * residenceMs / ending;
  }
}
