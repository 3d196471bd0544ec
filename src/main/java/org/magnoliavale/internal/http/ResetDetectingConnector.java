package org.magnoliavale.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Creates client connections that distinguish a connection reset from an orderly close.
 *
 * <p>Jetty's own connections report a reset as the end of the stream, so a response without a
 * content length that is truncated by a reset would look complete.
 */
public final class ResetDetectingConnector extends ClientConnector {
  private static final class ResetDetectingEndPoint extends SocketChannelEndPoint {
    private final ByteBuffer probe = ByteBuffer.allocate(1);

    ResetDetectingEndPoint(
        SocketChannel channel,
        ManagedSelector selector,
        SelectionKey key,
        org.eclipse.jetty.util.thread.Scheduler scheduler) {
      super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
      int filled = super.fill(buffer);
      if (filled < 0 && getChannel().isOpen()) {
        // Further reads throw on a reset channel and return -1 on a channel closed by the peer.
        getChannel().read(probe);
      }
      return filled;
    }
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetDetectingEndPoint((SocketChannel) channel, selector, key, getScheduler());
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
