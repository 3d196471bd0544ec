package org.magnoliavale.internal.http;

import java.util.Locale;
import org.eclipse.jetty.client.Request;

/**
 * How a connection of a client ended, as far as its reads and writes have shown it.
 *
 * @param kind which of them showed the end first
 * @param failure the failure that it showed, empty if there was none
 */
public record ConnectionEnd(Kind kind, String failure) {
  /** What showed the end of a connection first. */
  public enum Kind {
    /** Nothing did: the connection is in use, or this side ends it. */
    NONE,
    /** A read found that the server had closed the connection. */
    ORDERLY,
    /** A read failed, for example after a reset. */
    READ_FAILED,
    /** A write failed. */
    WRITE_FAILED,
    /** A read found that this side had closed the connection. */
    CLOSED_HERE
  }

  /** The state of a connection that has not ended. */
  public static final ConnectionEnd NONE = new ConnectionEnd(Kind.NONE, "");

  /** Attribute of a request: the connection that it was sent on. */
  private static final String CONNECTION_ATTRIBUTE = ConnectionEnd.class.getName();

  static void remember(Request request, EndCheckingEndPoint connection) {
    request.attribute(CONNECTION_ATTRIBUTE, connection);
  }

  /** Returns how the connection of a request has ended so far. */
  public static ConnectionEnd of(Request request) {
    return request.getAttributes().get(CONNECTION_ATTRIBUTE) instanceof EndCheckingEndPoint used
        ? used.end()
        : NONE;
  }

  /** Returns the text for the log. */
  @Override
  public String toString() {
    String name = kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    return failure.isEmpty() ? name : name + " (" + failure + ")";
  }
}
