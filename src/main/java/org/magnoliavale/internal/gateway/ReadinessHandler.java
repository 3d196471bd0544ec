package org.magnoliavale.internal.gateway;

import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Responds to the load balancer's readiness checks: 200 if this instance is ready, else 503. */
final class ReadinessHandler extends Handler.Abstract.NonBlocking {
  private final BooleanSupplier ready;

  ReadinessHandler(BooleanSupplier ready) {
    this.ready = ready;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    response.setStatus(
        ready.getAsBoolean() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
    response.getHeaders().put("Content-Length", 0);
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    return true;
  }
}
