package org.magnoliavale.internal.dispatch;

/**
 * How long work takes at the endpoints of one service, learned from the answers to this instance's
 * own requests. Endpoints differ; {@link EndpointSpeed} says how one compares with the mean that
 * stands here. Times are in milliseconds. Not thread-safe.
 */
final class ServicePace {
  /** Time between events of a stream, until answers have shown it. */
  private static final double EXPECTED_EVENT_INTERVAL_MS = 40;

  /** Part that each running request adds to the time between events. */
  private static final double EXPECTED_INTERVAL_PER_REQUEST_MS = 2;

  private static final double TYPICAL_RUNNING_REQUESTS = 8;

  /** Time to the first event without any prompt to read, until answers have shown it. */
  private static final double EXPECTED_FIRST_EVENT_MS = 20;

  /** Time to read a token of a prompt, until answers have shown it. */
  private static final double EXPECTED_MS_PER_PROMPT_TOKEN = 0.05;

  private static final double TYPICAL_PROMPT_TOKENS = 1_000;

  /** Time that a request stays at an endpoint, until answers have shown it. */
  private static final double EXPECTED_RESIDENCE_MS = 1_000;

  /** Time that a request without an engine takes, until answers have shown it. */
  private static final double EXPECTED_PLAIN_MS = 60;

  private static final double SMOOTHING = 0.05;

  private final LinearFit eventIntervals =
      new LinearFit(
          EXPECTED_EVENT_INTERVAL_MS, EXPECTED_INTERVAL_PER_REQUEST_MS, TYPICAL_RUNNING_REQUESTS);
  private final LinearFit firstEvents =
      new LinearFit(EXPECTED_FIRST_EVENT_MS, EXPECTED_MS_PER_PROMPT_TOKEN, TYPICAL_PROMPT_TOKENS);
  private double residenceMs = EXPECTED_RESIDENCE_MS;
  private double plainMs = EXPECTED_PLAIN_MS;
  private double uncachedTokens = -1;
  private double privateTokens = -1;

  void recordEventInterval(double runningRequests, double milliseconds) {
    eventIntervals.add(runningRequests, milliseconds);
  }

  void recordFirstEvent(double unreadTokens, double milliseconds) {
    firstEvents.add(unreadTokens, milliseconds);
  }

  void recordResidence(double milliseconds) {
    residenceMs += SMOOTHING * (milliseconds - residenceMs);
  }

  void recordPlain(double milliseconds) {
    plainMs += SMOOTHING * (milliseconds - plainMs);
  }

  /** Records the size of a request that is sent, in tokens. */
  void recordRequest(SentRequest request) {
    uncachedTokens = smoothed(uncachedTokens, request.uncachedTokens());
    privateTokens = smoothed(privateTokens, request.privateTokens());
  }

  private static double smoothed(double mean, double value) {
    return mean < 0 ? value : mean + SMOOTHING * (value - mean);
  }

  /** Returns the number of first events that the figures rest on. */
  double samples() {
    return firstEvents.weight();
  }

  double eventIntervalMs(double runningRequests) {
    return eventIntervals.at(runningRequests);
  }

  /** Returns what one more running request adds to the time between events of the others. */
  double intervalPerRequestMs() {
    return eventIntervals.slope();
  }

  double firstEventMs(double unreadTokens) {
    return firstEvents.at(unreadTokens);
  }

  double msPerPromptToken() {
    return firstEvents.slope();
  }

  /** Returns how long a request stays at an endpoint. */
  double residenceMs() {
    return residenceMs;
  }

  /** Returns how long a request without an engine takes. */
  double plainMs() {
    return plainMs;
  }

  /** Returns the mean number of prompt tokens that an endpoint reads for a request. */
  double uncachedTokens() {
    return Math.max(0, uncachedTokens);
  }

  /** Returns the mean memory that a request shares with no other one, in tokens. */
  double privateTokens() {
    return Math.max(0, privateTokens);
  }
}
