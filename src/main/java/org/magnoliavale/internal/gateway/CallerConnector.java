package org.magnoliavale.internal.gateway;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** Accepts connections whose next bytes can be read while a request is being handled. */
final class CallerConnector extends ServerConnector {
  private static final int SELECTORS = 1;

  /** Returns a connector that accepts connections on its selector's thread. */
  CallerConnector(Server server, ConnectionFactory connectionFactory) {
    super(server, null, null, null, 0, SELECTORS, connectionFactory);
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    SocketChannelEndPoint endPoint =
        new LookAheadEndPoint(channel, selector, key, getScheduler(), getExecutor());
    endPoint.setIdleTimeout(getIdleTimeout());
    return endPoint;
  }
}
