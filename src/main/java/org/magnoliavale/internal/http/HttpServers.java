package org.magnoliavale.internal.http;

import java.io.Closeable;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.VirtualThreads;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty servers whose handlers run on virtual threads and may block. */
public final class HttpServers {
  private static final int MAXIMUM_THREADS = 64;
  private static final int ACCEPT_QUEUE_SIZE = 1_024;
  private static final int OUTPUT_BUFFER_BYTES = 8_192;

  private HttpServers() {}

  /** Returns a server that is not started yet. */
  public static Server create(
      String name,
      InetSocketAddress address,
      int maximumHeaderBytes,
      Duration idleTimeout,
      Handler handler) {
    QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS);
    threads.setName(name);
    threads.setVirtualThreadsExecutor(VirtualThreads.getDefaultVirtualThreadsExecutor());
    Server server = new Server(threads);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setSendDateHeader(false);
    configuration.setRequestHeaderSize(maximumHeaderBytes);
    configuration.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    configuration.setUriCompliance(UriCompliance.DEFAULT);
    ServerConnector connector =
        new ServerConnector(server, 1, 2, new HttpConnectionFactory(configuration));
    connector.setHost(address.getAddress().getHostAddress());
    connector.setPort(address.getPort());
    connector.setIdleTimeout(idleTimeout.toMillis());
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    server.addConnector(connector);
    server.setHandler(handler);
    server.setStopTimeout(0);
    return server;
  }

  /** Starts a server and returns its port; throws {@link IllegalStateException} if that fails. */
  public static int start(Server server) {
    try {
      server.start();
      return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    } catch (Exception e) {
      throw new IllegalStateException("failed to start HTTP server: " + e.getMessage(), e);
    }
  }

  /** Closes the server's listening socket; open connections continue to be served. */
  public static void stopAccepting(Server server) {
    ServerConnector connector = (ServerConnector) server.getConnectors()[0];
    // The connector's own close() leaves the socket open when a selector accepts connections.
    IO.close((Closeable) connector.getTransport());
    // A channel registered with a selector is only deregistered when the selector next runs.
    for (ManagedSelector selector :
        connector.getSelectorManager().getBeans(ManagedSelector.class)) {
      selector.submit(ignored -> {});
    }
  }

  /** Stops a server; throws {@link IllegalStateException} if that fails. */
  public static void stop(Server server) {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("failed to stop HTTP server", e);
    }
  }
}
