package org.magnoliavale.internal.gateway;

import java.io.IOException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.metrics.InstanceMetrics;

/** Serves this instance's metrics in the Prometheus text format at {@code /metrics}. */
final class MetricsHandler extends Handler.Abstract.NonBlocking {
  private static final String PATH = "/metrics";

  private final InstanceMetrics metrics;

  MetricsHandler(InstanceMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws IOException {
    if (!Request.getPathInContext(request).equals(PATH)) {
      return false;
    }
    HttpResponses.write(
        response, callback, HttpStatus.OK_200, "text/plain; version=0.0.4", metrics.text());
    return true;
  }
}
