package org.magnoliavale.internal.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.magnoliavale.internal.json.Json;

/**
 * The fields of a completion request that an engine stand-in uses.
 *
 * @param prompt complete text of the prompt
 * @param prefix part of the prompt that the prefix cache stores: the first message of a chat, or
 *     the complete prompt
 * @param maximumTokens number of tokens to generate
 * @param stream whether the response is streamed
 * @param chat whether this is a chat completion
 */
record CompletionRequest(
    String prompt, String prefix, int maximumTokens, boolean stream, boolean chat) {
  private static final int DEFAULT_MAXIMUM_TOKENS = 16;

  static CompletionRequest parse(byte[] body) throws IOException {
    JsonNode tree = Json.tree(body);
    int tokens = tree.path("max_tokens").asInt(DEFAULT_MAXIMUM_TOKENS);
    boolean stream = tree.path("stream").asBoolean(false);
    JsonNode messages = tree.path("messages");
    if (!messages.isArray()) {
      String prompt = tree.path("prompt").asText();
      return new CompletionRequest(prompt, prompt, tokens, stream, false);
    }
    StringBuilder prompt = new StringBuilder();
    messages.forEach(message -> prompt.append(message.path("content").asText()).append('\n'));
    String prefix = messages.path(0).path("content").asText();
    return new CompletionRequest(prompt.toString(), prefix, tokens, stream, true);
  }
}
