package org.magnoliavale.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a caller closes its connection while its request is being handled.
 *
 * <p>Under HTTP/1.1 Jetty does not read from a connection while a request is handled, so a
 * disconnect would go unnoticed. This class reads from the connection instead. Bytes of a pipelined
 * request are passed on to the server's connection. Monitoring must be stopped before the response
 * is completed, because Jetty then reads from the connection again.
 *
 * <p>Callbacks run on Jetty's I/O threads and must not block.
 */
final class CallerDisconnectMonitor implements Callback {
  private static final int BUFFER_BYTES = 1_024;

  private static final class MonitoringStopped extends Exception {
    private static final long serialVersionUID = 1L;

    MonitoringStopped() {
      super("caller monitoring stopped", null, false, false);
    }
  }

  private final AbstractEndPoint endPoint;
  private final Connection connection;
  private final Runnable onDisconnect;
  private boolean done;

  private CallerDisconnectMonitor(
      AbstractEndPoint endPoint, Connection connection, Runnable onDisconnect) {
    this.endPoint = endPoint;
    this.connection = connection;
    this.onDisconnect = onDisconnect;
  }

  /**
   * Starts monitoring; {@code onDisconnect} runs at most once, when the caller closes its
   * connection.
   */
  static CallerDisconnectMonitor start(Connection connection, Runnable onDisconnect) {
    AbstractEndPoint endPoint = (AbstractEndPoint) connection.getEndPoint();
    CallerDisconnectMonitor monitor =
        new CallerDisconnectMonitor(endPoint, connection, onDisconnect);
    endPoint.tryFillInterested(monitor);
    return monitor;
  }

  /** Stops monitoring, so that the server can read from the connection again. */
  void stop() {
    synchronized (this) {
      if (done) {
        return;
      }
      done = true;
    }
    if (endPoint.isFillInterested()) {
      endPoint.getFillInterest().onFail(new MonitoringStopped());
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
      if (done) {
        return;
      }
      closed = readAndDetectClose();
      done = closed;
    }
    if (closed) {
      onDisconnect.run();
    }
  }

  @Override
  public void failed(Throwable cause) {
    synchronized (this) {
      if (done) {
        return;
      }
      done = true;
    }
    onDisconnect.run();
  }

  /** Reads the available bytes; returns true if the connection is closed. */
  private boolean readAndDetectClose() {
    ByteBuffer buffer = BufferUtil.allocate(BUFFER_BYTES);
    int count;
    try {
      count = endPoint.fill(buffer);
    } catch (IOException e) {
      // A connection reset is handled as a close.
      return true;
    }
    if (count < 0) {
      return true;
    }
    if (count > 0) {
      // Pipelined request. A later close is detected when the server reads that request.
      ((Connection.UpgradeTo) connection).onUpgradeTo(buffer);
      return false;
    }
    endPoint.tryFillInterested(this);
    return false;
  }
}
