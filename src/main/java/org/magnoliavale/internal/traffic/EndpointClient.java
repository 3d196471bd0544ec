package org.magnoliavale.internal.traffic;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.MultiplexConnectionPool;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.magnoliavale.Service;
import org.magnoliavale.internal.http.EngineHeaders;
import org.magnoliavale.internal.http.HttpAddresses;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.settings.EngineSettings;

/**
 * Sends attempts to endpoints over HTTP/1.1.
 *
 * <p>An attempt that fails, times out or is abandoned closes its connection, so that a late
 * response is never delivered to another request. Requests may be sent from any thread between
 * {@code start} and {@code stop}; the sending thread blocks until the response headers arrive.
 */
public final class EndpointClient implements AttemptSender, Service {
  private final HttpClient pooled;
  private final HttpClient fresh;

  private EndpointClient(HttpClient pooled, HttpClient fresh) {
    this.pooled = pooled;
    this.fresh = fresh;
  }

  /** Returns a client that is not started yet. */
  public static EndpointClient of(EngineSettings settings) {
    HttpClient pooled =
        HttpClients.create(
            "endpoints",
            settings.connectionsPerEndpoint(),
            settings.connectTimeout(),
            settings.idleConnection());
    HttpClient fresh =
        HttpClients.create(
            "endpoints-fresh",
            settings.connectionsPerEndpoint(),
            settings.connectTimeout(),
            settings.idleConnection());
    // A reused connection may have died unnoticed; one that carried no request has not.
    fresh
        .getTransport()
        .setConnectionPoolFactory(
            destination ->
                new MultiplexConnectionPool(
                    destination, destination.getHttpClient().getMaxConnectionsPerDestination(), 1) {
                  @Override
                  public int getMaxUsage() {
                    return 1;
                  }
                });
    return new EndpointClient(pooled, fresh);
  }

  @Override
  public void start() {
    HttpClients.start(pooled);
    HttpClients.start(fresh);
  }

  @Override
  public void stop() {
    HttpClients.stop(pooled);
    HttpClients.stop(fresh);
  }

  @Override
  public AttemptStart send(AttemptRequest attempt) {
    return send(pooled, attempt);
  }

  @Override
  public AttemptStart sendOnce(AttemptRequest attempt) {
    return send(fresh, attempt);
  }

  private static AttemptStart send(HttpClient client, AttemptRequest attempt) {
    AtomicBoolean begun = new AtomicBoolean();
    Request request = request(client, attempt);
    request.onRequestBegin(ignored -> begun.set(true));
    InputStreamResponseListener listener = new InputStreamResponseListener();
    request.send(listener);
    try {
      Response response =
          listener.get(attempt.firstByteTimeout().toMillis(), TimeUnit.MILLISECONDS);
      return opened(attempt, request, response, listener);
    } catch (InterruptedException e) {
      request.abort(e);
      Thread.currentThread().interrupt();
      return failed(begun.get(), e, "interrupted");
    } catch (TimeoutException e) {
      request.abort(e);
      return failed(
          begun.get(), e, "no response within " + attempt.firstByteTimeout().toMillis() + " ms");
    } catch (ExecutionException e) {
      return failed(begun.get(), e, String.valueOf(e.getCause()));
    }
  }

  private static AttemptStart opened(
      AttemptRequest attempt,
      Request request,
      Response response,
      InputStreamResponseListener listener) {
    OpenAnswer answer = new JettyOpenAnswer(request, response, listener.getInputStream());
    String answered = response.getHeaders().get(EngineHeaders.ATTEMPT);
    if (!attempt.attemptId().equals(answered)) {
      boolean refusal = answered == null && response.getStatus() >= 500;
      answer.abandon("response of another attempt");
      return new AttemptStart.Failed(
          refusal ? "status " + response.getStatus() : "response has attempt id " + answered,
          false);
    }
    return new AttemptStart.Opened(answer);
  }

  private static Request request(HttpClient client, AttemptRequest attempt) {
    Request request =
        client
            .newRequest(
                "http://" + HttpAddresses.text(attempt.endpoint().address()) + attempt.path())
            .method(attempt.method())
            .headers(fields -> fields.add(attempt.headers()))
            .headers(fields -> fields.put(EngineHeaders.ATTEMPT, attempt.attemptId()))
            .idleTimeout(attempt.progressTimeout().toMillis(), TimeUnit.MILLISECONDS)
            .timeout(Math.max(1, attempt.total().toMillis()), TimeUnit.MILLISECONDS);
    if (attempt.body().length > 0) {
      String type = attempt.headers().get(HttpHeader.CONTENT_TYPE);
      request.body(
          new BytesRequestContent(type == null ? "application/json" : type, attempt.body()));
    }
    return request;
  }

  private static AttemptStart failed(boolean begun, Exception failure, String reason) {
    return begun
        ? new AttemptStart.Failed(reason, Failures.isConnectionLost(failure))
        : new AttemptStart.NotSent(reason);
  }
}
