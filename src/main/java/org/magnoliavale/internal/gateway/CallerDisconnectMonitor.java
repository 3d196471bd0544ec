package org.magnoliavale.internal.gateway;

import java.io.IOException;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.Callback;

/**
 * Detects that a caller closes its connection while its request is being handled.
 *
 * <p>Under HTTP/1.1 Jetty does not read from a connection while a request is handled, so a
 * disconnect would go unnoticed. This class reads ahead instead. What it reads of pipelined
 * requests is held for the server; once the connection holds as much as it may, a disconnect is no
 * longer detected. Monitoring must be stopped before the response is completed, because Jetty then
 * reads from the connection again.
 *
 * <p>Callbacks run on Jetty's I/O threads and must not block.
 */
final class CallerDisconnectMonitor implements Callback {
  private static final class MonitoringStopped extends Exception {
    private static final long serialVersionUID = 1L;

    MonitoringStopped() {
      super("caller monitoring stopped", null, false, false);
    }
  }

  private final LookAheadEndPoint endPoint;
  private final Runnable onDisconnect;
  private boolean done;

  private CallerDisconnectMonitor(LookAheadEndPoint endPoint, Runnable onDisconnect) {
    this.endPoint = endPoint;
    this.onDisconnect = onDisconnect;
  }

  /**
   * Starts monitoring; {@code onDisconnect} runs at most once, when the caller closes its
   * connection.
   */
  static CallerDisconnectMonitor start(Connection connection, Runnable onDisconnect) {
    LookAheadEndPoint endPoint = (LookAheadEndPoint) connection.getEndPoint();
    CallerDisconnectMonitor monitor = new CallerDisconnectMonitor(endPoint, onDisconnect);
    endPoint.awaitMore(monitor);
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
    synchronized (this) {
      if (done) {
        return;
      }
      switch (lookAhead()) {
        case OPEN -> {
          endPoint.awaitMore(this);
          return;
        }
        case FULL -> {
          return;
        }
        case CLOSED -> done = true;
      }
    }
    onDisconnect.run();
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

  private LookAheadEndPoint.LookAhead lookAhead() {
    try {
      return endPoint.lookAhead();
    } catch (IOException e) {
      // A connection reset is handled as a close.
      return LookAheadEndPoint.LookAhead.CLOSED;
    }
  }
}
