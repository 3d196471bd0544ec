package org.magnoliavale.internal.dispatch;

import java.util.List;

/**
 * What a call asks of a model engine.
 *
 * @param artifact the model or adapter
 * @param promptTokens length of the prompt
 * @param outputTokens most tokens that it may produce
 * @param parts the prompt's parts in order; the last belongs to the request or its session
 */
public record Generation(
    Artifact artifact, int promptTokens, int outputTokens, List<PromptPart> parts) {
  /** Takes a copy. */
  public Generation {
    parts = List.copyOf(parts);
  }
}
