package org.magnoliavale.internal.gateway;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.metrics.InstanceMetrics;

/** The HTTP servers of an instance: for callers, readiness checks and metrics. */
final class GatewayServers {
  private final Server callerServer;
  private final Server readinessServer;
  private final Server metricsServer;
  private int callerPort;
  private int metricsPort;

  GatewayServers(
      GatewaySettings settings,
      JettyTransport transport,
      Handler callerHandler,
      Handler readinessHandler,
      InstanceMetrics instanceMetrics) {
    callerServer = transport.createServer(settings.callerAddress(), callerHandler);
    readinessServer = transport.createServer(settings.readinessAddress(), readinessHandler);
    metricsServer =
        transport.createServer(settings.metricsAddress(), new MetricsHandler(instanceMetrics));
  }

  void start() {
    callerPort = HttpServers.start(callerServer);
    HttpServers.start(readinessServer);
    metricsPort = HttpServers.start(metricsServer);
  }

  /** Closes the listening socket for callers; open connections are still served. */
  void stopAcceptingCallers() {
    HttpServers.stopAccepting(callerServer);
  }

  void stop() {
    HttpServers.stop(callerServer);
    HttpServers.stop(readinessServer);
    HttpServers.stop(metricsServer);
  }

  int callerPort() {
    return callerPort;
  }

  int metricsPort() {
    return metricsPort;
  }
}
