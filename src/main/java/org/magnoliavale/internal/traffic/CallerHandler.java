package org.magnoliavale.internal.traffic;

import java.io.IOException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.http.RequestBodies;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.settings.CallerSettings;

/**
 * Handles all HTTP requests on the caller port: health checks, model requests and service requests.
 *
 * <p>Each request runs on its own thread, which blocks until the response has been written. Model
 * and service requests are admitted by the request limit; health checks bypass it, so that they
 * succeed on a busy instance.
 */
public final class CallerHandler extends BlockingHandler {
  private final CallerSettings settings;
  private final Forwarder forwarder;
  private final ModelRequestHandler models;
  private final ServiceRequestHandler services;
  private final RequestLimiter limiter;
  private final HealthChecks healthChecks;

  /**
   * Returns a handler that sends idempotent requests through {@code forwarder} and non-idempotent
   * ones through {@code atMostOnceForwarder}.
   */
  public CallerHandler(
      CallerSettings settings,
      Forwarder forwarder,
      AtMostOnceForwarder atMostOnceForwarder,
      DemandCounter demand,
      RequestLimiter limiter,
      HealthChecks healthChecks) {
    super(Logs.of("caller"));
    this.settings = settings;
    this.forwarder = forwarder;
    this.models = new ModelRequestHandler(forwarder, demand);
    this.services = new ServiceRequestHandler(forwarder, atMostOnceForwarder);
    this.limiter = limiter;
    this.healthChecks = healthChecks;
  }

  @Override
  protected void respond(Request request, Response response, Callback callback) throws IOException {
    String path = Request.getPathInContext(request);
    if (path.startsWith(HealthChecks.PATH_PREFIX)) {
      healthChecks.respond(path, response, callback);
      return;
    }
    if (!healthChecks.isReady()) {
      // Makes callers with persistent connections reconnect to another instance.
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    limiter.acquire();
    Callback releasing = Callback.from(callback, limiter::release);
    boolean dispatched = false;
    try {
      dispatch(path, request, response, releasing);
      dispatched = true;
    } finally {
      if (!dispatched) {
        limiter.release();
      }
    }
  }

  private void dispatch(String path, Request request, Response response, Callback callback)
      throws IOException {
    RequestContext context =
        RequestContext.of(
            request.getHeaders(),
            forwarder.endpointSelector().snapshot().document(),
            settings.defaultDeadline(),
            System.nanoTime());
    response.getHeaders().put(HeaderNames.REQUEST_ID, context.requestId());
    byte[] body = RequestBodies.read(request, settings.maximumBodyBytes());
    if (path.startsWith(ServiceRequestHandler.PATH_PREFIX)) {
      services.handle(context, request, body, response, callback);
      return;
    }
    switch (request.getMethod() + " " + path) {
      case "POST /v1/chat/completions", "POST /v1/completions" ->
          models.complete(context, path, body, response, callback);
      case "GET /v1/models" -> models.list(response, callback);
      default -> throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "no such path: " + path);
    }
  }
}
