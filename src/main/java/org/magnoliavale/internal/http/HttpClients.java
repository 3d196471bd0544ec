package org.magnoliavale.internal.http;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.VirtualThreads;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty clients that never resend or redirect a request on their own. */
public final class HttpClients {
  private static final int MAXIMUM_THREADS = 32;

  private HttpClients() {}

  /** Returns a client that is not started yet. */
  public static HttpClient create(
      String name, int maximumConnections, Duration connectTimeout, Duration idleTimeout) {
    ClientConnector connector = new EndCheckingConnector();
    connector.setSelectors(1);
    connector.setConnectTimeout(connectTimeout);
    QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS);
    threads.setName(name);
    threads.setDaemon(true);
    threads.setVirtualThreadsExecutor(VirtualThreads.getDefaultVirtualThreadsExecutor());
    connector.setExecutor(threads);
    HttpClient client = BoundedTransport.createClient(connector);
    client.setName(name);
    client.setExecutor(threads);
    client.setConnectTimeout(connectTimeout.toMillis());
    client.setIdleTimeout(idleTimeout.toMillis());
    client.setMaxConnectionsPerDestination(maximumConnections);
    client.setMaxRequestsQueuedPerDestination(maximumConnections);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    return client;
  }

  /** Starts a client; throws {@link IllegalStateException} if that fails. */
  public static void start(HttpClient client) {
    try {
      client.start();
      // The protocol handlers for redirects and authentication would resend a request.
      client.getProtocolHandlers().clear();
      client.getProtocolHandlers().put(new InterimResponseHandler());
    } catch (Exception e) {
      throw new IllegalStateException("failed to start HTTP client " + client.getName(), e);
    }
  }

  /** Stops a client; throws {@link IllegalStateException} if that fails. */
  public static void stop(HttpClient client) {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("failed to stop HTTP client " + client.getName(), e);
    }
  }
}
