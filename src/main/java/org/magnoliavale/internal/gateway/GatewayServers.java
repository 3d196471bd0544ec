package org.magnoliavale.internal.gateway;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.metrics.InstanceMetrics;

/** The HTTP servers of an instance: for callers, readiness checks and metrics. */
final class GatewayServers {
  private final Server callers;
  private final Server readiness;
  private final Server metrics;
  private int callerPort;
  private int metricsPort;

  GatewayServers(
      GatewaySettings settings,
      GatewayNetwork network,
      Handler callerHandler,
      Handler readinessHandler,
      InstanceMetrics instanceMetrics) {
    callers = network.server(settings.callers(), callerHandler);
    readiness = network.server(settings.readiness(), readinessHandler);
    metrics = network.server(settings.metrics(), new MetricsHandler(instanceMetrics));
  }

  void start() {
    callerPort = HttpServers.start(callers);
    HttpServers.start(readiness);
    metricsPort = HttpServers.start(metrics);
  }

  /** Closes the listening socket for callers; open connections are still served. */
  void stopAcceptingCallers() {
    HttpServers.stopAccepting(callers);
  }

  void stop() {
    HttpServers.stop(callers);
    HttpServers.stop(readiness);
    HttpServers.stop(metrics);
  }

  int callerPort() {
    return callerPort;
  }

  int metricsPort() {
    return metricsPort;
  }
}
