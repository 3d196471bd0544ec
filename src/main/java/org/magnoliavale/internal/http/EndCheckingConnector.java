package org.magnoliavale.internal.http;

import java.net.InetSocketAddress;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Creates client connections that distinguish an orderly close by the server from other ends. */
public final class EndCheckingConnector extends ClientConnector {
  private final Consumer<InetSocketAddress> connected;

  /** Returns a connector. */
  public EndCheckingConnector() {
    this(address -> {});
  }

  /**
   * Returns a connector.
   *
   * @param connected is told the address of each connection that has been accepted
   */
  public EndCheckingConnector(Consumer<InetSocketAddress> connected) {
    this.connected = connected;
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    if (((SocketChannel) channel).socket().getRemoteSocketAddress()
        instanceof InetSocketAddress address) {
      connected.accept(address);
    }
    return new EndCheckingEndPoint((SocketChannel) channel, selector, key, getScheduler());
  }

  /** Returns a factory that is never started, since no connection uses TLS. */
  @Override
  protected SslContextFactory.Client newSslContextFactory() {
    return new SslContextFactory.Client() {
      @Override
      protected void doStart() {
        // Starting would read the certificates of the JDK's trust store.
      }
    };
  }
}
