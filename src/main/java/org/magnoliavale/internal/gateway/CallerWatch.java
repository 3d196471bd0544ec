package org.magnoliavale.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Notices that a caller closes its connection while its request is being answered.
 *
 * <p>Under HTTP/1.1 the server does not read from a connection while a request is handled, so a
 * close goes unseen. This reads in its place. Bytes of a next request that arrive early are handed
 * to the server's connection. The watch must be ended before the answer ends, because the server
 * then reads again.
 */
final class CallerWatch implements Callback {
  private static final int BUFFER_BYTES = 1_024;

  private static final class Ended extends Exception {
    private static final long serialVersionUID = 1L;

    Ended() {
      super("watch ended", null, false, false);
    }
  }

  private final AbstractEndPoint endPoint;
  private final Connection connection;
  private final Runnable left;
  private boolean over;

  private CallerWatch(AbstractEndPoint endPoint, Connection connection, Runnable left) {
    this.endPoint = endPoint;
    this.connection = connection;
    this.left = left;
  }

  /** Begins to watch; {@code left} runs once if the caller closes its connection. */
  static CallerWatch start(Connection connection, Runnable left) {
    AbstractEndPoint endPoint = (AbstractEndPoint) connection.getEndPoint();
    CallerWatch watch = new CallerWatch(endPoint, connection, left);
    endPoint.tryFillInterested(watch);
    return watch;
  }

  /** Ends the watch; the server reads from the connection again. */
  void end() {
    synchronized (this) {
      if (over) {
        return;
      }
      over = true;
    }
    if (endPoint.isFillInterested()) {
      endPoint.getFillInterest().onFail(new Ended());
    }
  }

  @Override
  public InvocationType getInvocationType() {
    return InvocationType.NON_BLOCKING;
  }

  @Override
  public void succeeded() {
    boolean closed = false;
    synchronized (this) {
      if (over) {
        return;
      }
      closed = read();
      over = closed;
    }
    if (closed) {
      left.run();
    }
  }

  @Override
  public void failed(Throwable cause) {
    synchronized (this) {
      if (over) {
        return;
      }
      over = true;
    }
    left.run();
  }

  /** Reads what has arrived; tells whether the connection is closed. */
  private boolean read() {
    ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
    int count;
    try {
      count = endPoint.fill(buffer);
    } catch (IOException e) {
      // A reset is a close like any other; the call is told below.
      return true;
    }
    if (count < 0) {
      return true;
    }
    if (count > 0) {
      // The caller sends its next request early. A close after that is seen when it is read.
      ((Connection.UpgradeTo) connection).onUpgradeTo(buffer);
      return false;
    }
    endPoint.tryFillInterested(this);
    return false;
  }
}
