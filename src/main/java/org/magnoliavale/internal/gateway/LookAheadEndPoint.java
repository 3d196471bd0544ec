package org.magnoliavale.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection whose next bytes can be read ahead of the server, up to a bound. The server
 * reads these bytes first, whole and in their order, and then goes on with the socket.
 *
 * <p>The server and the one who reads ahead take turns; they never read at the same time.
 */
final class LookAheadEndPoint extends SocketChannelEndPoint {
  /** What reading ahead has found. */
  enum LookAhead {
    /** All bytes that have come are held; more may come. */
    OPEN,
    /** As many bytes are held as may be; the rest stays in the socket. */
    FULL,
    /** The caller has closed the connection. */
    CLOSED
  }

  private static final int MAXIMUM_BYTES_AHEAD = 8_192;

  private final Executor executor;
  private ByteBuffer bytesAhead = BufferUtil.EMPTY_BUFFER;
  private boolean awaitsBytesFromSocket;

  LookAheadEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      Executor executor) {
    super(channel, selector, key, scheduler);
    this.executor = executor;
  }

  /** Reads the bytes that have come and holds them for the server. */
  synchronized LookAhead lookAhead() throws IOException {
    ByteBuffer held =
        bytesAhead.hasRemaining() ? bytesAhead : BufferUtil.allocate(MAXIMUM_BYTES_AHEAD);
    LookAhead found = fillUp(held);
    bytesAhead = held.hasRemaining() ? held : BufferUtil.EMPTY_BUFFER;
    return found;
  }

  private LookAhead fillUp(ByteBuffer held) throws IOException {
    while (BufferUtil.space(held) > 0) {
      int count = super.fill(held);
      if (count <= 0) {
        return count < 0 ? LookAhead.CLOSED : LookAhead.OPEN;
      }
    }
    return LookAhead.FULL;
  }

  /** Runs a callback once when the socket has more bytes, or its end, whatever is held already. */
  synchronized void awaitMore(Callback callback) {
    awaitsBytesFromSocket = true;
    try {
      tryFillInterested(callback);
    } finally {
      awaitsBytesFromSocket = false;
    }
  }

  @Override
  public synchronized int fill(ByteBuffer buffer) throws IOException {
    if (!bytesAhead.hasRemaining()) {
      return super.fill(buffer);
    }
    int count = BufferUtil.append(buffer, bytesAhead);
    if (!bytesAhead.hasRemaining()) {
      bytesAhead = BufferUtil.EMPTY_BUFFER;
    }
    return count;
  }

  @Override
  protected synchronized void needsFillInterest() {
    if (bytesAhead.hasRemaining() && !awaitsBytesFromSocket) {
      // The selector doesn't know of bytes that have left the socket.
      executor.execute(() -> getFillInterest().fillable());
    } else {
      super.needsFillInterest();
    }
  }
}
