package org.magnoliavale.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;

/**
 * Makes connections that tell a reset from an orderly close.
 *
 * <p>Jetty's own connections read a reset as the end of the stream, so an answer that has no length
 * and is cut off by a reset would look complete.
 */
final class ResetDetectingConnector extends ClientConnector {
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
        // A channel that was reset fails every further read; one that was closed just ends.
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
}
