package org.magnoliavale.internal.gateway;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.metrics.InstanceMetrics;

/** The three ports of an instance: for callers, for the balancer's checks and for metrics. */
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

  /** Closes the callers' port; open connections are served on. */
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
