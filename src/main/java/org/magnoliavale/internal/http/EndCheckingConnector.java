package org.magnoliavale.internal.http;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Creates client connections that distinguish an orderly close by the server from other ends. */
public final class EndCheckingConnector extends ClientConnector {
  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
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
