package org.magnoliavale.internal.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliavale.Service;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonClient;

/** The HTTP clients of an instance: one for the store and commands, one for attempts of calls. */
final class GatewayClients implements Service {
  /** Longest time that a response to a short request may take. */
  static final Duration CONTROL_IDLE_TIMEOUT = Duration.ofSeconds(4);

  private static final int CONTROL_CONNECTIONS = 64;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  private final JettyTransport transport;
  private final HttpClient control;
  private final HttpClient endpoints;

  /**
   * Returns clients that are not started yet.
   *
   * @param connected is told the address of each connection that an endpoint has accepted
   */
  GatewayClients(JettyTransport transport, Consumer<InetSocketAddress> connected) {
    this.transport = transport;
    control =
        transport.createClient(
            "control", CONTROL_CONNECTIONS, CONNECT_TIMEOUT, CONTROL_IDLE_TIMEOUT);
    endpoints = transport.createEndpointClient(CONNECT_TIMEOUT, connected);
  }

  /** Returns the client for short requests. */
  JsonClient control() {
    return JsonClient.of(control);
  }

  /** Returns what sends attempts of calls. */
  JettyEndpointConnector connector() {
    return new JettyEndpointConnector(endpoints);
  }

  @Override
  public void start() {
    HttpClients.start(control);
    transport.startEndpointClient(endpoints);
  }

  @Override
  public void stop() {
    HttpClients.stop(endpoints);
    HttpClients.stop(control);
  }
}
