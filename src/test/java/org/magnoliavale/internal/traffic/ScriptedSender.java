package org.magnoliavale.internal.traffic;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Returns predefined results for attempts, in order; fails the attempts after the last one. */
final class ScriptedSender implements AttemptSender {
  private record Response(int status, InputStream content) implements EndpointResponse {
    @Override
    public Optional<String> contentType() {
      return Optional.of("application/json");
    }

    @Override
    public void abandon(String reason) {}
  }

  private final Deque<AttemptResult> results = new ArrayDeque<>();
  private final List<AttemptRequest> sent = new ArrayList<>();
  private Runnable duringSend = () -> {};

  ScriptedSender then(AttemptResult result) {
    results.add(result);
    return this;
  }

  /** Runs {@code task} while each attempt is being sent. */
  ScriptedSender whileSending(Runnable task) {
    duringSend = task;
    return this;
  }

  static AttemptResult response(int status, String body) {
    return response(status, stream(body));
  }

  static AttemptResult response(int status, InputStream content) {
    return new AttemptResult.Responded(new Response(status, content));
  }

  /** Returns a response whose connection is lost after {@code body}. */
  static AttemptResult truncatedResponse(String body) {
    InputStream broken =
        new InputStream() {
          @Override
          public int read() throws IOException {
            throw new java.io.EOFException("reset");
          }
        };
    return new AttemptResult.Responded(
        new Response(200, new SequenceInputStream(stream(body), broken)));
  }

  private static InputStream stream(String body) {
    return new ByteArrayInputStream(body.getBytes(StandardCharsets.UTF_8));
  }

  List<AttemptRequest> sent() {
    return sent;
  }

  @Override
  public AttemptResult send(AttemptRequest attempt) {
    sent.add(attempt);
    duringSend.run();
    return results.isEmpty()
        ? new AttemptResult.Failed("no more scripted results", false)
        : results.poll();
  }

  @Override
  public AttemptResult sendOnNewConnection(AttemptRequest attempt) {
    throw new AssertionError("idempotent request was sent as a non-idempotent one");
  }
}
