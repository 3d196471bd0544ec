package org.magnoliavale.internal.dispatch;

/**
 * What it costs to send a request to an endpoint, in milliseconds of delay, its own and that of
 * others.
 *
 * <p>Requests at an endpoint count alike at fast and slow ones: with equal numbers in progress,
 * fast ones get more of the arrivals, in proportion to their speed.
 *
 * @param knownMs the part that this instance knows itself
 * @param loadMs the part that follows from the load of all instances
 * @param uncertaintyMs by how much that part may be wrong
 * @param speed speed of the endpoint, 1 as usual
 */
record EndpointCost(double knownMs, double loadMs, double uncertaintyMs, double speed) {
  /** Penalty for an endpoint of which all recent attempts failed. */
  private static final double FAILURE_PENALTY_MS = 600;

  /** Penalty for the cost of traffic to another data centre. */
  private static final double REMOTE_PENALTY_MS = 6;

  /** Penalty for an answer that comes too late, or with pauses that are too long. */
  private static final double LATE_PENALTY_MS = 100;

  /** Share of the longest pause on time that the mean pause may take. */
  private static final double MEAN_GAP_SHARE = 0.6;

  /** Least cost of a request in progress. */
  private static final double MINIMUM_REQUEST_COST_MS = 1;

  /** How much more requests count at an endpoint of which nothing is known yet. */
  private static final double DOUBT_FACTOR = 2;

  /**
   * Returns the cost of a request.
   *
   * @param dataCentre the data centre of this instance
   */
  static EndpointCost of(
      EndpointState state,
      EndpointForecast forecast,
      SelectionCriteria criteria,
      String dataCentre,
      long nowNanos) {
    double knownMs = FAILURE_PENALTY_MS * state.failureRate();
    if (!state.entry().dataCentre().equals(dataCentre)) {
      knownMs += REMOTE_PENALTY_MS;
    }
    return criteria.generation().isPresent()
        ? ofEngine(state, forecast, criteria, knownMs, nowNanos)
        : ofPlain(state, forecast, knownMs, nowNanos);
  }

  private static EndpointCost ofPlain(
      EndpointState state, EndpointForecast forecast, double knownMs, long nowNanos) {
    double plainMs = state.pace().plainMs();
    double requestMs =
        Math.max(MINIMUM_REQUEST_COST_MS, plainMs / Math.max(1, state.entry().slots()));
    return new EndpointCost(
        knownMs + state.firstByteMs() / 2,
        forecast.requests() * requestMs,
        requestMs * uncertainRequests(state, plainMs, nowNanos),
        1);
  }

  private static EndpointCost ofEngine(
      EndpointState state,
      EndpointForecast forecast,
      SelectionCriteria criteria,
      double knownMs,
      long nowNanos) {
    ServicePace pace = state.pace();
    double uncached = criteria.generation().orElseThrow().promptTokens() - forecast.cachedTokens();
    double requestMs = Math.max(MINIMUM_REQUEST_COST_MS, 2 * pace.intervalPerRequestMs());
    double doubtFactor = 1 + DOUBT_FACTOR * state.speed().doubt(nowNanos);
    int slots = Math.max(1, state.entry().slots());
    double queued = Math.max(0, forecast.requests() - slots + 1);
    double loadMs =
        forecast.requests() * requestMs * doubtFactor
            + queued * pace.residenceMs() / slots
            + forecast.unreadTokens() * pace.msPerPromptToken() * forecast.timeFactor()
            + criteria.urgency().map(urgency -> latenessMs(forecast, urgency)).orElse(0.0);
    double residenceMs = pace.residenceMs() * forecast.timeFactor();
    return new EndpointCost(
        knownMs + uncached * pace.msPerPromptToken(),
        loadMs,
        requestMs * uncertainRequests(state, residenceMs, nowNanos) + uncertainReadingMs(state),
        1 / state.speed().timeFactor(nowNanos));
  }

  private static double latenessMs(EndpointForecast forecast, CallUrgency urgency) {
    double targetMs = urgency.timeToTarget().toMillis();
    double late = targetMs > 0 && forecast.firstEventMs() > targetMs ? LATE_PENALTY_MS : 0;
    double gapMs = urgency.targetGap().toMillis() * MEAN_GAP_SHARE;
    return gapMs > 0 && forecast.eventIntervalMs() > gapMs ? late + LATE_PENALTY_MS : late;
  }

  /** Returns by how much the estimate of the prompts that are still to be read may be wrong. */
  private static double uncertainReadingMs(EndpointState state) {
    return state.loadEstimate().uncertainWaiting()
        * state.pace().uncachedTokens()
        * state.pace().msPerPromptToken();
  }

  /** Returns by how many requests the estimate of an endpoint's load may be wrong. */
  private static double uncertainRequests(EndpointState state, double residenceMs, long nowNanos) {
    LoadEstimate load = state.loadEstimate();
    return load.isValid(nowNanos) ? 1 + load.sentByOthers(residenceMs, nowNanos) : 1;
  }
}
