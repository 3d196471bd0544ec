package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;

/** Records attempts, and lets a test supply their responses. */
final class ScriptedConnector implements EndpointConnector {
  /** An attempt that was sent. */
  static final class Sent {
    private final OutgoingRequest request;
    private final AttemptListener listener;
    private boolean cancelled;

    private Sent(OutgoingRequest request, AttemptListener listener) {
      this.request = request;
      this.listener = listener;
    }

    OutgoingRequest request() {
      return request;
    }

    AttemptListener listener() {
      return listener;
    }

    boolean isCancelled() {
      return cancelled;
    }

    String endpoint() {
      return request.endpoint().identity().id();
    }

    /** Starts a response with this attempt's id and its endpoint's signature. */
    void begin(int status) {
      listener.onResponseHead(
          status,
          HttpFields.build()
              .put("X-Request-Attempt-Id", request.headers().get("X-Request-Attempt-Id"))
              .put("X-Response-Signature", "signature-of-" + endpoint()));
    }

    /** Starts a response in chunks, so that it says itself where it ends. */
    void beginChunked() {
      listener.onResponseHead(
          200,
          HttpFields.build()
              .put("X-Request-Attempt-Id", request.headers().get("X-Request-Attempt-Id"))
              .put("X-Response-Signature", "signature-of-" + endpoint())
              .put("Transfer-Encoding", "chunked"));
    }

    void content(String text) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      listener.onContent(ByteBuffer.wrap(bytes), () -> {});
    }

    /** Sends a part of the body that is followed by the next one only on {@code demand}. */
    void content(String text, Runnable demand) {
      listener.onContent(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), demand);
    }

    void respond(int status, String text) {
      begin(status);
      content(text);
      listener.onCompleted();
    }

    /** Responds that the attempt was not executed. */
    void respondNotExecuted(int status, String... headers) {
      HttpFields.Mutable fields =
          HttpFields.build()
              .put("X-Request-Attempt-Id", request.headers().get("X-Request-Attempt-Id"))
              .put("X-Not-Executed", "1");
      for (String header : headers) {
        fields.put(header, "1");
      }
      listener.onResponseHead(status, fields);
      listener.onCompleted();
    }

    void failAfterSend() {
      listener.onFailed(AttemptFailure.LOST, "reset");
    }

    void failBeforeSend() {
      listener.onFailed(AttemptFailure.NOT_SENT, "refused");
    }
  }

  private final List<Sent> sent = new ArrayList<>();
  private final Set<String> failing = new HashSet<>();
  private boolean failingCancels;

  /** From now on the sending of a request with this path and query throws. */
  void failOn(String pathQuery) {
    failing.add(pathQuery);
  }

  /** From now on an attempt throws when it is cancelled. */
  void failCancels() {
    failingCancels = true;
  }

  private void cancel(Sent attempt) {
    attempt.cancelled = true;
    if (failingCancels) {
      throw new IllegalStateException("expected by the test");
    }
  }

  List<Sent> sent() {
    return sent;
  }

  Sent last() {
    return sent.getLast();
  }

  @Override
  public Handle send(OutgoingRequest request, AttemptListener listener) {
    if (failing.contains(request.pathQuery())) {
      throw new IllegalStateException("expected by the test");
    }
    Sent attempt = new Sent(request, listener);
    sent.add(attempt);
    return () -> cancel(attempt);
  }
}
