package org.magnoliavale.internal.traffic;

import java.io.IOException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.EngineHeaders;
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
  private final ModelCalls models;
  private final ServiceCalls services;
  private final RequestGate gate;
  private final Readiness readiness;

  /**
   * Returns a handler that sends idempotent requests through {@code forwarder} and non-idempotent
   * ones through {@code orders}.
   */
  public CallerHandler(
      CallerSettings settings,
      Forwarder forwarder,
      OrderDesk orders,
      DemandCounter demand,
      RequestGate gate,
      Readiness readiness) {
    super(Logs.of("caller"));
    this.settings = settings;
    this.forwarder = forwarder;
    this.models = new ModelCalls(forwarder, demand);
    this.services = new ServiceCalls(forwarder, orders);
    this.gate = gate;
    this.readiness = readiness;
  }

  @Override
  protected void respond(Request request, Response response, Callback callback) throws IOException {
    String path = Request.getPathInContext(request);
    if (path.startsWith(Readiness.ROOT)) {
      readiness.respond(path, response, callback);
      return;
    }
    if (!readiness.isReady()) {
      // Makes callers with persistent connections reconnect to another instance.
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    gate.enter();
    Callback leaving = Callback.from(callback, gate::leave);
    boolean completed = false;
    try {
      carry(path, request, response, leaving);
      completed = true;
    } finally {
      if (!completed) {
        gate.leave();
      }
    }
  }

  private void carry(String path, Request request, Response response, Callback callback)
      throws IOException {
    RequestContext context =
        RequestContext.of(
            request.getHeaders(),
            forwarder.routing().snapshot().document(),
            settings.defaultDeadline(),
            System.nanoTime());
    response.getHeaders().put(EngineHeaders.REQUEST, context.requestId());
    byte[] body = RequestBodies.read(request, settings.maximumBodyBytes());
    if (path.startsWith(ServiceCalls.ROOT)) {
      services.call(context, request, body, response, callback);
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
