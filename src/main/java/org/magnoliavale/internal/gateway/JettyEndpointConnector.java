package org.magnoliavale.internal.gateway;

import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.magnoliavale.internal.call.AttemptFailure;
import org.magnoliavale.internal.call.AttemptListener;
import org.magnoliavale.internal.call.EndpointConnector;
import org.magnoliavale.internal.call.OutgoingRequest;

/**
 * Sends attempts with Jetty's client. Connections are kept for each incarnation of an endpoint, so
 * none leads to another that got its address.
 */
final class JettyEndpointConnector implements EndpointConnector {
  private static final class Cancelled extends Exception {
    private static final long serialVersionUID = 1L;

    Cancelled() {
      super("cancelled", null, false, false);
    }
  }

  /** Follows one attempt through the client's events. */
  private static final class Exchange implements Response.CompleteListener {
    private final AttemptListener listener;
    private volatile boolean begun;
    private volatile boolean sent;
    private volatile boolean early;

    Exchange(AttemptListener listener) {
      this.listener = listener;
    }

    void content(Response response, Content.Chunk chunk, Runnable demander) {
      ByteBuffer bytes = chunk.getByteBuffer();
      if (!bytes.hasRemaining()) {
        demander.run();
        return;
      }
      listener.onContent(bytes, demander);
    }

    void answered(Response response) {
      listener.onResponseHead(response.getStatus(), HttpFields.build(response.getHeaders()));
    }

    void received(Response response) {
      if (!sent) {
        // The endpoint has answered before it read the request. It would take the next request on
        // this connection for the rest of this one, so the connection is closed.
        early = true;
        response.getRequest().abort(new Cancelled());
      }
    }

    @Override
    public void onComplete(Result result) {
      if (result.isSucceeded() || early) {
        listener.onCompleted();
        return;
      }
      Throwable cause = result.getFailure();
      boolean unsent = !begun || cause instanceof ConnectException;
      listener.onFailed(
          unsent ? AttemptFailure.NOT_SENT : AttemptFailure.LOST, cause.getClass().getSimpleName());
    }
  }

  /** No answer takes longer; calls end attempts much sooner. */
  private static final long IDLE_TIMEOUT_S = 60;

  private final HttpClient client;

  JettyEndpointConnector(HttpClient client) {
    this.client = client;
  }

  @Override
  public Handle send(OutgoingRequest order, AttemptListener listener) {
    Exchange exchange = new Exchange(listener);
    Request request =
        client
            .newRequest(
                order.endpoint().address().getAddress().getHostAddress(),
                order.endpoint().address().getPort())
            .method(order.method())
            .path(order.pathQuery())
            .tag(order.endpoint().identity())
            .idleTimeout(IDLE_TIMEOUT_S, TimeUnit.SECONDS)
            .headers(fields -> fields.add(order.headers()));
    if (order.body().length > 0) {
      String type = order.headers().get(HttpHeader.CONTENT_TYPE);
      request.body(
          type == null
              ? new BytesRequestContent(order.body())
              : new BytesRequestContent(type, order.body()));
    }
    request.onRequestBegin(ignored -> exchange.begun = true);
    request.onRequestSuccess(ignored -> exchange.sent = true);
    request.onResponseHeaders(exchange::answered);
    request.onResponseContentAsync(exchange::content);
    request.onResponseSuccess(exchange::received);
    request.send(exchange);
    return () -> request.abort(new Cancelled());
  }
}
