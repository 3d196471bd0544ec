package org.magnoliavale.internal.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A request that was sent to an endpoint, from its selection to its end. Its state belongs to the
 * {@link EndpointPool} that selected the endpoint, which guards it by its lock.
 */
public final class SentRequest {
  /**
   * A part of a prompt that several requests may share.
   *
   * @param hash hash of the part and all before it
   * @param tokens length of the part
   */
  record SharedPart(long hash, int tokens) {}

  private final long sentNanos;
  private final boolean engine;
  private final int uncachedTokens;
  private final long privateTokens;
  private final List<SharedPart> sharedParts;
  private final EndpointForecast forecast;
  private long lastEventNanos;
  private boolean begun;
  private boolean ended;

  private SentRequest(
      long sentNanos,
      boolean engine,
      int uncachedTokens,
      long privateTokens,
      List<SharedPart> sharedParts,
      EndpointForecast forecast) {
    this.sentNanos = sentNanos;
    this.engine = engine;
    this.uncachedTokens = uncachedTokens;
    this.privateTokens = privateTokens;
    this.sharedParts = sharedParts;
    this.forecast = forecast;
  }

  /**
   * Returns a request that is sent now.
   *
   * @param uncachedTokens prompt tokens that the endpoint has to read
   * @param forecast what was expected of the endpoint
   */
  static SentRequest of(
      Optional<GenerationRequest> generation,
      int uncachedTokens,
      EndpointForecast forecast,
      long nowNanos) {
    if (generation.isEmpty()) {
      return new SentRequest(nowNanos, false, 0, 0, List.of(), forecast);
    }
    List<SharedPart> shared = sharedParts(generation.get());
    return new SentRequest(
        nowNanos, true, uncachedTokens, privateTokens(generation.get()), shared, forecast);
  }

  /** Returns the parts of a prompt that other requests may share. */
  static List<SharedPart> sharedParts(GenerationRequest generation) {
    List<SharedPart> parts = new ArrayList<>();
    long hash = PrefixCacheEstimate.initialHash(generation);
    for (PromptSegment segment : generation.sharedSegments()) {
      hash = PrefixCacheEstimate.extendHash(hash, segment);
      parts.add(new SharedPart(hash, segment.tokens()));
    }
    return parts;
  }

  /** Returns the memory that a request shares with no other one, in tokens. */
  static long privateTokens(GenerationRequest generation) {
    long shared = generation.sharedSegments().stream().mapToLong(PromptSegment::tokens).sum();
    return Math.max(0, generation.promptTokens() - shared) + generation.expectedOutputTokens();
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Returns whether a model engine runs the request. */
  boolean isForEngine() {
    return engine;
  }

  int uncachedTokens() {
    return uncachedTokens;
  }

  long privateTokens() {
    return privateTokens;
  }

  List<SharedPart> sharedParts() {
    return sharedParts;
  }

  EndpointForecast forecast() {
    return forecast;
  }

  /** Records an event; returns when the one before it came, empty if it is the first. */
  Optional<Long> recordEvent(long nowNanos) {
    Optional<Long> previous = begun ? Optional.of(lastEventNanos) : Optional.empty();
    begun = true;
    lastEventNanos = nowNanos;
    return previous;
  }

  /** Returns whether its first event has come, so that its prompt has been read. */
  boolean hasBegun() {
    return begun;
  }

  /** Marks the request as ended; returns whether it had not ended before. */
  boolean endOnce() {
    boolean first = !ended;
    ended = true;
    return first;
  }
}
