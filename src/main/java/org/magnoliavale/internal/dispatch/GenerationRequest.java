package org.magnoliavale.internal.dispatch;

import java.util.List;

/**
 * The part of a request that concerns a model engine.
 *
 * @param artifact the model or adapter
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens maximum number of tokens to generate
 * @param expectedOutputTokens the caller's estimate of the tokens that will be generated, at most
 *     {@code outputTokens}; {@code outputTokens} if the caller gives none
 * @param segments the prompt's segments in order; the last is specific to the request or its
 *     session
 */
public record GenerationRequest(
    Artifact artifact,
    int promptTokens,
    int outputTokens,
    int expectedOutputTokens,
    List<PromptSegment> segments) {
  /** Copies the list. */
  public GenerationRequest {
    segments = List.copyOf(segments);
  }

  /** Returns a request without an estimate of its output. */
  public GenerationRequest(
      Artifact artifact, int promptTokens, int outputTokens, List<PromptSegment> segments) {
    this(artifact, promptTokens, outputTokens, outputTokens, segments);
  }

  /** Returns the segments that other requests may share: all but the last. */
  public List<PromptSegment> sharedSegments() {
    return segments.subList(0, Math.max(0, segments.size() - 1));
  }
}
