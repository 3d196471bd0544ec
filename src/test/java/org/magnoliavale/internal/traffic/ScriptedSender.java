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
  private record Answer(int status, InputStream content) implements OpenAnswer {
    @Override
    public Optional<String> contentType() {
      return Optional.of("application/json");
    }

    @Override
    public void abandon(String reason) {}
  }

  private final Deque<AttemptStart> script = new ArrayDeque<>();
  private final List<AttemptRequest> sent = new ArrayList<>();
  private Runnable meanwhile = () -> {};

  ScriptedSender then(AttemptStart start) {
    script.add(start);
    return this;
  }

  /** Runs {@code task} while each attempt is being sent. */
  ScriptedSender whileSending(Runnable task) {
    meanwhile = task;
    return this;
  }

  static AttemptStart whole(int status, String body) {
    return new AttemptStart.Opened(new Answer(status, stream(body)));
  }

  /** Returns a response whose connection is lost after {@code body}. */
  static AttemptStart cutAfter(String body) {
    InputStream broken =
        new InputStream() {
          @Override
          public int read() throws IOException {
            throw new java.io.EOFException("reset");
          }
        };
    return new AttemptStart.Opened(new Answer(200, new SequenceInputStream(stream(body), broken)));
  }

  private static InputStream stream(String body) {
    return new ByteArrayInputStream(body.getBytes(StandardCharsets.UTF_8));
  }

  List<AttemptRequest> sent() {
    return sent;
  }

  @Override
  public AttemptStart send(AttemptRequest attempt) {
    sent.add(attempt);
    meanwhile.run();
    return script.isEmpty()
        ? new AttemptStart.Failed("no more scripted results", false)
        : script.poll();
  }

  @Override
  public AttemptStart sendOnce(AttemptRequest attempt) {
    throw new AssertionError("idempotent request was sent as a non-idempotent one");
  }
}
