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
import org.magnoliavale.internal.call.AttemptEnd;
import org.magnoliavale.internal.call.AttemptFailure;
import org.magnoliavale.internal.call.AttemptListener;
import org.magnoliavale.internal.call.ConnectionUse;
import org.magnoliavale.internal.call.EndpointConnector;
import org.magnoliavale.internal.call.OutgoingRequest;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.http.ConnectionEnd;
import org.magnoliavale.internal.http.ExchangeFailures;

/**
 * Sends attempts with Jetty's client. Connections are pooled by endpoint incarnation, so a pooled
 * connection is never used for another endpoint that was given the same address. An attempt that
 * asks for a connection of its own gets one from a second pool, whose connections carry one attempt
 * each and are then closed.
 */
final class JettyEndpointConnector implements EndpointConnector {
  private static final class Cancelled extends Exception {
    private static final long serialVersionUID = 1L;

    Cancelled() {
      super("cancelled", null, false, false);
    }
  }

  /** The key of a connection pool, in addition to the address. */
  private record PoolKey(EndpointIdentity endpoint, ConnectionUse use) {}

  /** Translates the HTTP client's events for one attempt into calls of its listener. */
  private static final class Exchange implements Response.CompleteListener {
    private final AttemptListener listener;
    private volatile boolean requestStarted;
    private volatile boolean requestSent;
    private volatile boolean earlyResponse;
    private volatile long receivedBytes;

    /** Status of the head that was received; a malformed response changes that of the client. */
    private volatile int status;

    Exchange(AttemptListener listener) {
      this.listener = listener;
    }

    void onContent(Response response, Content.Chunk chunk, Runnable demander) {
      ByteBuffer bytes = chunk.getByteBuffer();
      if (!bytes.hasRemaining()) {
        demander.run();
        return;
      }
      receivedBytes += bytes.remaining();
      listener.onContent(bytes, demander);
    }

    void onHeaders(Response response) {
      status = response.getStatus();
      listener.onResponseHead(response.getStatus(), HttpFields.build(response.getHeaders()));
    }

    private AttemptEnd end(Result result, String failure) {
      return new AttemptEnd(
          status,
          AttemptEnd.Framing.of(status, result.getResponse().getHeaders()),
          requestSent,
          ConnectionEnd.of(result.getRequest()).toString(),
          failure);
    }

    void onResponseReceived(Response response) {
      if (!requestSent) {
        // The endpoint responded before it had read the whole request. It would read the next
        // request on this connection as the rest of this one, so the connection is closed.
        earlyResponse = true;
        response.getRequest().abort(new Cancelled());
      }
    }

    /** The request may fail after the last byte of its response and before the client's event. */
    private boolean hasWholeBody(Response response) {
      long length = response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
      boolean chunked = response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
      return !chunked && length > 0 && length == receivedBytes;
    }

    @Override
    public void onComplete(Result result) {
      if (result.isSucceeded() || earlyResponse || hasWholeBody(result.getResponse())) {
        listener.onEnd(end(result, ""));
        listener.onCompleted();
        return;
      }
      Throwable cause = result.getFailure();
      listener.onEnd(end(result, ExchangeFailures.describe(cause)));
      boolean notSent = !requestStarted || cause instanceof ConnectException;
      listener.onFailed(
          notSent ? AttemptFailure.NOT_SENT : AttemptFailure.LOST,
          cause.getClass().getSimpleName());
    }
  }

  /** Upper bound on idle time; calls cancel their attempts at a much earlier deadline. */
  private static final long IDLE_TIMEOUT_S = 60;

  private final HttpClient client;

  JettyEndpointConnector(HttpClient client) {
    this.client = client;
  }

  @Override
  public Handle send(OutgoingRequest outgoing, AttemptListener listener) {
    Exchange exchange = new Exchange(listener);
    Request request =
        new VerbatimRequest(client, outgoing.endpoint().address(), outgoing.pathQuery())
            .method(outgoing.method())
            .tag(new PoolKey(outgoing.endpoint().identity(), outgoing.connection()))
            .idleTimeout(IDLE_TIMEOUT_S, TimeUnit.SECONDS)
            .headers(fields -> fields.add(outgoing.headers()));
    if (outgoing.connection() == ConnectionUse.OWN) {
      request.headers(fields -> fields.put(HttpHeader.CONNECTION, "close"));
    }
    if (outgoing.body().length > 0) {
      String type = outgoing.headers().get(HttpHeader.CONTENT_TYPE);
      request.body(
          type == null
              ? new BytesRequestContent(outgoing.body())
              : new BytesRequestContent(type, outgoing.body()));
    }
    request.onRequestBegin(ignored -> exchange.requestStarted = true);
    request.onRequestSuccess(ignored -> exchange.requestSent = true);
    request.onResponseHeaders(exchange::onHeaders);
    request.onResponseContentAsync(exchange::onContent);
    request.onResponseSuccess(exchange::onResponseReceived);
    request.send(exchange);
    return () -> request.abort(new Cancelled());
  }
}
