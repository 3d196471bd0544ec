package org.magnoliavale.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A client connection that distinguishes a connection reset from an orderly close, and remembers
 * how it ended.
 *
 * <p>Jetty's own connections report a reset as the end of the stream, so a response without a
 * content length that is truncated by a reset would look complete.
 */
final class EndCheckingEndPoint extends SocketChannelEndPoint {
  private final ByteBuffer probe = ByteBuffer.allocate(1);
  private ConnectionEnd end = ConnectionEnd.NONE;

  EndCheckingEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  /** Returns how the connection has ended, as far as reads and writes have shown it. */
  synchronized ConnectionEnd end() {
    return end;
  }

  private synchronized void ended(ConnectionEnd.Kind kind, String failure) {
    if (end.kind() == ConnectionEnd.Kind.NONE) {
      end = new ConnectionEnd(kind, failure);
    }
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    int filled = super.fill(buffer);
    if (filled < 0) {
      probe();
    }
    return filled;
  }

  private void probe() throws IOException {
    if (!getChannel().isOpen()) {
      ended(ConnectionEnd.Kind.CLOSED_HERE, "");
      return;
    }
    try {
      // Further reads throw on a reset channel and return -1 on a channel closed by the peer.
      getChannel().read(probe);
      ended(ConnectionEnd.Kind.ORDERLY, "");
    } catch (IOException e) {
      ended(ConnectionEnd.Kind.READ_FAILED, e.toString());
      throw e;
    }
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    try {
      return super.flush(buffers);
    } catch (IOException e) {
      ended(ConnectionEnd.Kind.WRITE_FAILED, e.toString());
      throw e;
    }
  }
}
