package org.magnoliavale.internal.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.json.Json;

/** Builds the response bodies of engine stand-ins. */
final class CompletionResponses {
  private CompletionResponses() {}

  static byte[] completion(CompletionRequest completion, String text) {
    Map<String, Object> choice =
        completion.chat()
            ? Map.of(
                "index",
                0,
                "finish_reason",
                "stop",
                "message",
                Map.of("role", "assistant", "content", text))
            : Map.of("index", 0, "finish_reason", "stop", "text", text);
    String object = completion.chat() ? "chat.completion" : "text_completion";
    return Json.bytes(
        Map.of(
            "object",
            object,
            "choices",
            List.of(choice),
            "usage",
            Map.of("completion_tokens", completion.maximumTokens())));
  }

  static byte[] streamEvent(CompletionRequest completion, int index) {
    String token = StandInTokens.token(completion.prompt(), index);
    Map<String, Object> choice =
        completion.chat()
            ? Map.of("index", 0, "delta", Map.of("content", token))
            : Map.of("index", 0, "text", token);
    String data = Json.text(Map.of("choices", List.of(choice)));
    return ("id: " + index + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
