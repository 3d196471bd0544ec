package org.magnoliavale.internal.dispatch;

import java.util.List;

/**
 * The part of a request that concerns a model engine.
 *
 * @param artifact the model or adapter
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens maximum number of tokens to generate
 * @param parts the prompt's segments in order; the last is specific to the request or its session
 */
public record Generation(
    Artifact artifact, int promptTokens, int outputTokens, List<PromptPart> parts) {
  /** Copies the list. */
  public Generation {
    parts = List.copyOf(parts);
  }
}
