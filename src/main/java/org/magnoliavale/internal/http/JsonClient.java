package org.magnoliavale.internal.http;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.magnoliavale.internal.json.Json;

/**
 * Client for short JSON calls of the control plane. A call blocks until the response is complete or
 * the timeout expires. Failures are returned, not thrown; the result tells whether the request may
 * have reached the server. Thread-safe.
 */
public final class JsonClient {
  /** Time after a request's own timeout that its result may take, in milliseconds. */
  private static final long LOST_REQUEST_MARGIN_MS = 1_000;

  private final HttpClient client;

  private JsonClient(HttpClient client) {
    this.client = client;
  }

  /** Returns a client that uses {@code client}, which must be started before the first call. */
  public static JsonClient of(HttpClient client) {
    return new JsonClient(client);
  }

  /** Sends a GET request. */
  public JsonCallResult get(InetSocketAddress address, String path, Duration timeout) {
    return send(request(HttpMethod.GET.asString(), address, path), timeout);
  }

  /** Sends a POST request with {@code body} serialized as JSON. */
  public JsonCallResult post(
      InetSocketAddress address, String path, Object body, Duration timeout) {
    Request request = request(HttpMethod.POST.asString(), address, path);
    request.body(new BytesRequestContent("application/json", Json.bytes(body)));
    return send(request, timeout);
  }

  /** Sends a request with any method, extra headers and a body that is already serialized. */
  public JsonCallResult send(
      String method,
      InetSocketAddress address,
      String path,
      Map<String, String> headers,
      byte[] body,
      Duration timeout) {
    Request request = request(method, address, path);
    request.headers(fields -> headers.forEach(fields::put));
    if (body.length > 0) {
      request.body(new BytesRequestContent("application/json", body));
    }
    return send(request, timeout);
  }

  private Request request(String method, InetSocketAddress address, String path) {
    return client.newRequest("http://" + HttpAddresses.format(address) + path).method(method);
  }

  private JsonCallResult send(Request request, Duration timeout) {
    // The HTTP client may lose a request whose connection is closed during interim responses.
    long limitMs = timeout.toMillis() + LOST_REQUEST_MARGIN_MS;

    AtomicBoolean sendStarted = new AtomicBoolean();
    request.onRequestBegin(ignored -> sendStarted.set(true));
    request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    if (timeout.toMillis() > client.getIdleTimeout()) {
      // A response that the server holds back is no idle connection.
      request.idleTimeout(limitMs, TimeUnit.MILLISECONDS);
    }
    try {
      CompletableFuture<ContentResponse> pending = new CompletableResponseListener(request).send();
      ContentResponse response = pending.get(limitMs, TimeUnit.MILLISECONDS);
      return new JsonCallResult.Response(
          response.getStatus(), response.getHeaders(), response.getContent());
    } catch (InterruptedException e) {
      request.abort(e);
      Thread.currentThread().interrupt();
      return toFailure(sendStarted.get(), e);
    } catch (TimeoutException e) {
      request.abort(e);
      return new JsonCallResult.OutcomeUnknown(e.getClass().getSimpleName());
    } catch (ExecutionException e) {
      return toFailure(sendStarted.get(), e);
    }
  }

  private static JsonCallResult toFailure(boolean sendStarted, Exception failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    String reason = cause.getClass().getSimpleName();
    return sendStarted
        ? new JsonCallResult.OutcomeUnknown(reason)
        : new JsonCallResult.NotSent(reason, cause instanceof ConnectException);
  }
}
