package org.magnoliavale.internal.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.Invocable.InvocationType;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.magnoliavale.internal.http.BoundedTransport;
import org.magnoliavale.internal.http.EndCheckingConnector;
import org.magnoliavale.internal.http.HttpClients;

/**
 * Creates Jetty servers and clients that share one small thread pool and one scheduler. Handlers
 * and the listeners of responses never block, so calls are processed on the threads that wait for
 * the network, and none of them is handed to another thread.
 */
final class JettyTransport {
  private static final int MINIMUM_THREADS = 4;
  private static final int MAXIMUM_THREADS = 24;
  private static final int ACCEPT_QUEUE_SIZE = 1_024;
  private static final int MAXIMUM_HEADER_BYTES = 32 * 1_024;

  /**
   * Paths and queries are forwarded unchanged, and the endpoint interprets them. A fragment is part
   * of neither.
   */
  private static final UriCompliance FORWARDED_TARGETS =
      UriCompliance.UNSAFE.without("FORWARDED", UriCompliance.Violation.FRAGMENT);

  /**
   * Idle timeout of caller connections; longer than callers keep an idle connection open, whatever
   * the configuration says.
   */
  private static final Duration CALLER_IDLE_TIMEOUT = Duration.ofMinutes(2);

  /**
   * Idle timeout of connections to endpoints; short, so that a connection is not reused after a
   * long idle time.
   */
  private static final Duration ENDPOINT_IDLE_TIMEOUT = Duration.ofSeconds(8);

  private static final int MAXIMUM_CONNECTIONS_PER_ENDPOINT = 512;

  private final QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
  private final ScheduledExecutorScheduler scheduler =
      new ScheduledExecutorScheduler("timer", true);

  JettyTransport() {
    threads.setName("traffic");
    threads.setReservedThreads(0);
    threads.setDaemon(true);
  }

  /** Returns a server for an address; it is not started. */
  Server createServer(InetSocketAddress address, Handler handler) {
    Server server = new Server(threads, scheduler, null);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    configuration.setRequestHeaderSize(MAXIMUM_HEADER_BYTES);
    configuration.setUriCompliance(FORWARDED_TARGETS);
    CallerConnector connector =
        new CallerConnector(server, new HttpConnectionFactory(configuration));
    connector.setHost(address.getAddress().getHostAddress());
    connector.setPort(address.getPort());
    connector.setIdleTimeout(CALLER_IDLE_TIMEOUT.toMillis());
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    server.addConnector(connector);
    server.setHandler(handler);
    server.setStopTimeout(0);
    return server;
  }

  /** Returns a client for short requests; it is not started. */
  HttpClient createClient(
      String name, int maximumConnections, Duration connectTimeout, Duration idleTimeout) {
    HttpClient client = createClient(name, address -> {});
    setBounds(client, maximumConnections, connectTimeout, idleTimeout);
    return client;
  }

  private static void setBounds(
      HttpClient client, int maximumConnections, Duration connectTimeout, Duration idleTimeout) {
    client.setConnectTimeout(connectTimeout.toMillis());
    client.setIdleTimeout(idleTimeout.toMillis());
    client.setMaxConnectionsPerDestination(maximumConnections);
    client.setMaxRequestsQueuedPerDestination(maximumConnections);
  }

  /**
   * Returns a client for attempts at endpoints; it is not started.
   *
   * @param connected is told the address of each connection that has been accepted
   */
  HttpClient createEndpointClient(Duration connectTimeout, Consumer<InetSocketAddress> connected) {
    HttpClient client = createClient("endpoints", connected);
    setBounds(client, MAXIMUM_CONNECTIONS_PER_ENDPOINT, connectTimeout, ENDPOINT_IDLE_TIMEOUT);
    client.setDestinationIdleTimeout(ENDPOINT_IDLE_TIMEOUT.toMillis() * 2);
    return client;
  }

  /** Starts a client for attempts at endpoints; response bodies are forwarded without decoding. */
  void startEndpointClient(HttpClient client) {
    HttpClients.start(client);
    client.getContentDecoderFactories().clear();
  }

  private HttpClient createClient(String name, Consumer<InetSocketAddress> connected) {
    ClientConnector connector = new EndCheckingConnector(connected);
    connector.setSelectors(1);
    connector.setExecutor(threads);
    connector.setScheduler(scheduler);
    HttpClient client = BoundedTransport.createClient(connector);
    client.getTransport().setInvocationType(InvocationType.NON_BLOCKING);
    client.setName(name);
    client.setExecutor(threads);
    client.setScheduler(scheduler);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    return client;
  }
}
