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
import org.magnoliavale.internal.http.ExchangeFailures;
import org.magnoliavale.internal.http.HeaderNames;
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
  private final HttpClient singleUse;

  private EndpointClient(HttpClient pooled, HttpClient singleUse) {
    this.pooled = pooled;
    this.singleUse = singleUse;
  }

  /** Returns a client that is not started yet. */
  public static EndpointClient of(EngineSettings settings) {
    HttpClient pooled =
        HttpClients.create(
            "endpoints",
            settings.connectionsPerEndpoint(),
            settings.connectTimeout(),
            settings.idleConnectionTimeout());
    HttpClient singleUse =
        HttpClients.create(
            "endpoints-fresh",
            settings.connectionsPerEndpoint(),
            settings.connectTimeout(),
            settings.idleConnectionTimeout());
    // A reused connection may be half-open without the client noticing; a new one cannot be.
    singleUse
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
    return new EndpointClient(pooled, singleUse);
  }

  @Override
  public void start() {
    HttpClients.start(pooled);
    HttpClients.start(singleUse);
  }

  @Override
  public void stop() {
    HttpClients.stop(pooled);
    HttpClients.stop(singleUse);
  }

  @Override
  public AttemptResult send(AttemptRequest attempt) {
    return send(pooled, attempt);
  }

  @Override
  public AttemptResult sendOnNewConnection(AttemptRequest attempt) {
    return send(singleUse, attempt);
  }

  private static AttemptResult send(HttpClient client, AttemptRequest attempt) {
    AtomicBoolean requestBegun = new AtomicBoolean();
    Request request = newRequest(client, attempt);
    request.onRequestBegin(ignored -> requestBegun.set(true));
    InputStreamResponseListener listener = new InputStreamResponseListener();
    request.send(listener);
    try {
      Response response =
          listener.get(attempt.firstByteTimeout().toMillis(), TimeUnit.MILLISECONDS);
      return responded(attempt, request, response, listener);
    } catch (InterruptedException e) {
      request.abort(e);
      Thread.currentThread().interrupt();
      return failed(requestBegun.get(), e, "interrupted");
    } catch (TimeoutException e) {
      request.abort(e);
      return failed(
          requestBegun.get(),
          e,
          "no response within " + attempt.firstByteTimeout().toMillis() + " ms");
    } catch (ExecutionException e) {
      return failed(requestBegun.get(), e, ExchangeFailures.describe(e.getCause()));
    }
  }

  private static AttemptResult responded(
      AttemptRequest attempt,
      Request request,
      Response response,
      InputStreamResponseListener listener) {
    EndpointResponse endpointResponse =
        new JettyEndpointResponse(
            request, response, new ResponseContent(listener.getInputStream()));
    String echoedAttemptId = response.getHeaders().get(HeaderNames.ATTEMPT_ID);
    if (!attempt.attemptId().equals(echoedAttemptId)) {
      boolean unidentifiedError = echoedAttemptId == null && response.getStatus() >= 500;
      endpointResponse.abandon("response of another attempt");
      return new AttemptResult.Failed(
          unidentifiedError
              ? "status " + response.getStatus()
              : "response has attempt id " + echoedAttemptId,
          false);
    }
    return new AttemptResult.Responded(endpointResponse);
  }

  private static Request newRequest(HttpClient client, AttemptRequest attempt) {
    Request request =
        client
            .newRequest(
                "http://" + HttpAddresses.format(attempt.endpoint().address()) + attempt.path())
            .method(attempt.method())
            .headers(fields -> fields.add(attempt.headers()))
            .headers(fields -> fields.put(HeaderNames.ATTEMPT_ID, attempt.attemptId()))
            .idleTimeout(attempt.progressTimeout().toMillis(), TimeUnit.MILLISECONDS)
            .timeout(Math.max(1, attempt.totalTimeout().toMillis()), TimeUnit.MILLISECONDS);
    if (attempt.body().length > 0) {
      String type = attempt.headers().get(HttpHeader.CONTENT_TYPE);
      request.body(
          new BytesRequestContent(type == null ? "application/json" : type, attempt.body()));
    }
    return request;
  }

  private static AttemptResult failed(boolean requestBegun, Exception failure, String reason) {
    return requestBegun
        ? new AttemptResult.Failed(reason, ConnectionFailures.isConnectionLost(failure))
        : new AttemptResult.NotSent(reason);
  }
}
