package org.magnoliavale.internal.http;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.VirtualThreads;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Builds Jetty clients that never repeat or redirect a request by themselves. */
public final class HttpClients {
  private static final int MAXIMUM_THREADS = 32;

  private HttpClients() {}

  /** Returns a client that is not started yet. */
  public static HttpClient create(
      String name, int connections, Duration connectTimeout, Duration idleConnection) {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    connector.setConnectTimeout(connectTimeout);
    QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS);
    threads.setName(name);
    threads.setDaemon(true);
    threads.setVirtualThreadsExecutor(VirtualThreads.getDefaultVirtualThreadsExecutor());
    connector.setExecutor(threads);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setName(name);
    client.setExecutor(threads);
    client.setConnectTimeout(connectTimeout.toMillis());
    client.setIdleTimeout(idleConnection.toMillis());
    client.setMaxConnectionsPerDestination(connections);
    client.setMaxRequestsQueuedPerDestination(connections);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    return client;
  }

  /** Starts a client. */
  public static void start(HttpClient client) {
    try {
      client.start();
      // Handlers of redirects and authentication would send a request a second time.
      client.getProtocolHandlers().clear();
    } catch (Exception e) {
      throw new IllegalStateException("can't start HTTP client " + client.getName(), e);
    }
  }

  /** Stops a client. */
  public static void stop(HttpClient client) {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("can't stop HTTP client " + client.getName(), e);
    }
  }
}
