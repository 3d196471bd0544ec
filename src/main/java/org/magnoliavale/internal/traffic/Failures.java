package org.magnoliavale.internal.traffic;

import java.io.EOFException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;

/** Classifies exceptions of connections. */
final class Failures {
  private static final int LONGEST_CHAIN = 8;

  private Failures() {}

  /**
   * Returns whether the exception or one of its causes means that the peer closed the connection.
   */
  static boolean isConnectionLost(Throwable failure) {
    Throwable cause = failure;
    for (int depth = 0; cause != null && depth < LONGEST_CHAIN; depth++) {
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
