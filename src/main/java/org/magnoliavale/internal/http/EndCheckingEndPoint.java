package org.magnoliavale.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.locks.ReentrantLock;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A client connection that reports an end of the stream only if the server has closed the
 * connection in an orderly way, and remembers how it ended.
 *
 * <p>A response that states neither a length nor chunks ends with its connection, so any other end
 * that is taken for an orderly one makes a truncated response look complete. Jetty's own
 * connections report every failure of a read as the end. A failure is not even certain to reach a
 * read: the operating system reports it once, to the first read or write that asks, and a read
 * after that finds an end. So an end counts only if no read and no write has failed before it, and
 * this side has not begun to close the connection. Any other end throws an exception.
 *
 * <p>A write also fails after the server has closed the connection in an orderly way. What failed
 * first doesn't tell on every system whether a reset came before that close, so such an end counts
 * only if it was read before the write failed.
 */
final class EndCheckingEndPoint extends SocketChannelEndPoint {
  private static final int END_OF_STREAM = -1;

  /**
   * Held during each write until its failure is noted, since a read may find an end as soon as the
   * write has taken the error. Writes never block.
   */
  private final ReentrantLock lock = new ReentrantLock();

  private ConnectionEnd end = ConnectionEnd.NONE;

  EndCheckingEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
    super(channel, selector, key, scheduler);
  }

  /** Returns how the connection has ended, as far as reads and writes have shown it. */
  ConnectionEnd end() {
    lock.lock();
    try {
      return end;
    } finally {
      lock.unlock();
    }
  }

  /** Notes an end unless there was one before; returns the first one. */
  private ConnectionEnd note(ConnectionEnd.Kind kind, String failure) {
    lock.lock();
    try {
      if (end.kind() == ConnectionEnd.Kind.NONE) {
        end = new ConnectionEnd(kind, failure);
      }
      return end;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public int fill(ByteBuffer buffer) throws IOException {
    if (end().kind() == ConnectionEnd.Kind.ORDERLY) {
      return END_OF_STREAM;
    }
    int filled = read(buffer);
    if (filled > 0) {
      notIdle();
    } else if (filled < 0) {
      checkEnd();
      shutdownInput();
    }
    return filled;
  }

  private int read(ByteBuffer buffer) throws IOException {
    int position = BufferUtil.flipToFill(buffer);
    try {
      return getChannel().read(buffer);
    } catch (IOException e) {
      note(
          isOpen() ? ConnectionEnd.Kind.READ_FAILED : ConnectionEnd.Kind.CLOSED_HERE, e.toString());
      throw e;
    } finally {
      BufferUtil.flipToFlush(buffer, position);
    }
  }

  /** Throws an exception unless the end that a read has found is the server's orderly close. */
  private void checkEnd() throws IOException {
    boolean closedHere = isOutputShutdown() || !isOpen();
    ConnectionEnd first =
        note(closedHere ? ConnectionEnd.Kind.CLOSED_HERE : ConnectionEnd.Kind.ORDERLY, "");
    if (first.kind() != ConnectionEnd.Kind.ORDERLY) {
      throw new IOException("connection did not end in an orderly way: " + first);
    }
  }

  @Override
  public boolean flush(ByteBuffer... buffers) throws IOException {
    lock.lock();
    try {
      return super.flush(buffers);
    } catch (IOException e) {
      note(
          isOpen() ? ConnectionEnd.Kind.WRITE_FAILED : ConnectionEnd.Kind.CLOSED_HERE,
          e.toString());
      throw e;
    } finally {
      lock.unlock();
    }
  }
}
