package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;

/** Records attempts, and lets a test supply their responses. */
final class ScriptedConnector implements EndpointConnector {
  /** An attempt that was sent. */
  static final class Sent {
    private final AttemptOrder order;
    private final AttemptListener listener;
    private boolean cancelled;

    private Sent(AttemptOrder order, AttemptListener listener) {
      this.order = order;
      this.listener = listener;
    }

    AttemptOrder order() {
      return order;
    }

    AttemptListener listener() {
      return listener;
    }

    boolean isCancelled() {
      return cancelled;
    }

    String endpoint() {
      return order.endpoint().identity().id();
    }

    /** Starts a response with this attempt's id and its endpoint's signature. */
    void begin(int status) {
      listener.began(
          status,
          HttpFields.build()
              .put("X-Request-Attempt-Id", order.headers().get("X-Request-Attempt-Id"))
              .put("X-Response-Signature", "signature-of-" + endpoint()));
    }

    void content(String text) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      listener.content(ByteBuffer.wrap(bytes), () -> {});
    }

    void answer(int status, String text) {
      begin(status);
      content(text);
      listener.completed();
    }

    /** Responds that the attempt was not executed. */
    void refuse(int status, String... headers) {
      HttpFields.Mutable fields =
          HttpFields.build()
              .put("X-Request-Attempt-Id", order.headers().get("X-Request-Attempt-Id"))
              .put("X-Not-Executed", "1");
      for (String header : headers) {
        fields.put(header, "1");
      }
      listener.began(status, fields);
      listener.completed();
    }

    void lose() {
      listener.failed(AttemptFailure.LOST, "reset");
    }

    void fail() {
      listener.failed(AttemptFailure.NOT_SENT, "refused");
    }
  }

  private final List<Sent> sent = new ArrayList<>();

  List<Sent> sent() {
    return sent;
  }

  Sent last() {
    return sent.getLast();
  }

  @Override
  public Handle send(AttemptOrder order, AttemptListener listener) {
    Sent attempt = new Sent(order, listener);
    sent.add(attempt);
    return () -> attempt.cancelled = true;
  }
}
