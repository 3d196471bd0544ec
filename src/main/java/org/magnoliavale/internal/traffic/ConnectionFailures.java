package org.magnoliavale.internal.traffic;

import java.io.EOFException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;

/** Classifies exceptions of connections. */
final class ConnectionFailures {
  private static final int MAXIMUM_CAUSE_DEPTH = 8;

  private ConnectionFailures() {}

  /**
   * Returns whether the exception or one of its causes means that the peer closed the connection.
   */
  static boolean isConnectionLost(Throwable exception) {
    Throwable cause = exception;
    for (int depth = 0; cause != null && depth < MAXIMUM_CAUSE_DEPTH; depth++) {
      boolean lost =
          cause instanceof EOFException
              || cause instanceof ClosedChannelException
              || cause instanceof SocketException;
      if (lost) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }
}
