package org.magnoliavale.internal.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;

/**
 * Frames responses of unknown length, so that one that breaks off never looks complete.
 *
 * <p>HTTP/1.1 callers get chunks, also on a connection that is to be closed. HTTP/1.0 has no
 * chunks: a response ends with its connection there. From its begin on, any end of that connection
 * is a reset, whether the handler, the server or the end of the process causes it.
 */
public final class StreamFraming {
  private static final Logger LOG = Logs.of("caller");
  private static final int RESET_ON_CLOSE_S = 0;
  private static final int ORDERLY_CLOSE = -1;

  private StreamFraming() {}

  /** Prepares a response of unknown length; called before its first write. */
  public static void begin(Response response) {
    if (understandsChunks(response.getRequest())) {
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
    } else {
      setLinger(response.getRequest(), RESET_ON_CLOSE_S);
    }
  }

  /** Lets a response end as complete; called when only its last, empty write is missing. */
  public static void complete(Response response) {
    if (!understandsChunks(response.getRequest())) {
      setLinger(response.getRequest(), ORDERLY_CLOSE);
    }
  }

  private static boolean understandsChunks(Request request) {
    return request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1;
  }

  private static void setLinger(Request request, int seconds) {
    Object transport = request.getConnectionMetaData().getConnection().getEndPoint().getTransport();
    if (transport instanceof SocketChannel channel) {
      try {
        channel.setOption(StandardSocketOptions.SO_LINGER, seconds);
      } catch (IOException e) {
        LOG.debugf("Connection is closed already. reason=%s", e);
      }
    }
  }
}
