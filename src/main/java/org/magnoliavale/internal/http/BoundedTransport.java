package org.magnoliavale.internal.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * HTTP/1.1 transport of a client that bounds what a server may send besides content. Content itself
 * is bounded by who reads it.
 *
 * <p>A connection is closed, and its request fails, when it receives more than {@link
 * #MAXIMUM_BYTES_WITHOUT_CONTENT} bytes of anything else (a head, interim responses, chunk sizes
 * and extensions, a trailer) since the start of the response or its last content. It is closed as
 * well when it receives bytes after its request was aborted, or that belong to no request. Jetty
 * alone would read all of these for as long as the server sends them, and an abort would wait until
 * it stops.
 *
 * <p>The status of a response is 200 to 599. Before it, interim responses with any status of 1xx
 * may come, except 101, since no request asks for another protocol. A response with another status
 * fails its request, as one that is malformed.
 */
public final class BoundedTransport extends HttpClientTransportOverHTTP {
  /** Maximum size of a response head, and of a trailer. */
  static final int MAXIMUM_HEAD_BYTES = 32 * 1_024;

  /** Room for a head, a trailer or interim responses, and what is read along with them. */
  static final int MAXIMUM_BYTES_WITHOUT_CONTENT = 4 * MAXIMUM_HEAD_BYTES;

  private static final int MINIMUM_FINAL_STATUS = 200;
  private static final int MAXIMUM_FINAL_STATUS = 599;

  private static final class UnexpectedBytes extends IOException {
    private static final long serialVersionUID = 1L;

    UnexpectedBytes(String message) {
      super(message);
    }
  }

  private static final class BoundedConnection extends HttpConnectionOverHTTP {
    /** Only the thread that reads from the connection accesses it. */
    private long bytesWithoutContent;

    BoundedConnection(EndPoint endPoint, Map<String, Object> context) {
      super(endPoint, context);
    }

    @Override
    protected HttpChannelOverHTTP newHttpChannel() {
      return new BoundedChannel(this);
    }

    /** Called after each read, before the bytes are parsed. */
    @Override
    protected void addBytesIn(long bytes) {
      super.addBytesIn(bytes);
      HttpExchange exchange = getHttpChannel().getHttpExchange();
      if (exchange == null) {
        closeNow("bytes that belong to no request");
      } else if (exchange.getRequest().getAbortCause() != null) {
        closeNow("bytes after the request was aborted");
      }
      bytesWithoutContent += bytes;
      if (bytesWithoutContent > MAXIMUM_BYTES_WITHOUT_CONTENT) {
        closeNow("response exceeds " + MAXIMUM_BYTES_WITHOUT_CONTENT + " bytes without content");
      }
    }

    /** Closes the connection while it has no request. */
    private void closeIdle(Throwable failure) {
      close(failure);
    }

    private void closeNow(String reason) {
      UnexpectedBytes failure = new UnexpectedBytes(reason);
      close(failure);
      // The connection closes its socket only after the abort of its request, which may be waiting
      // for this thread.
      getEndPoint().close(failure);
      throw new UncheckedIOException(failure);
    }
  }

  private static final class BoundedChannel extends HttpChannelOverHTTP {
    BoundedChannel(HttpConnectionOverHTTP connection) {
      super(connection);
    }

    @Override
    public boolean associate(HttpExchange exchange) {
      if (getHttpConnection().getEndPoint() instanceof EndCheckingEndPoint connection) {
        ConnectionEnd.remember(exchange.getRequest(), connection);
      }
      return super.associate(exchange);
    }

    @Override
    protected HttpReceiverOverHTTP newHttpReceiver() {
      return new BoundedReceiver(this);
    }
  }

  private static final class BoundedReceiver extends HttpReceiverOverHTTP {
    private int status;
    private boolean excess;

    BoundedReceiver(HttpChannelOverHTTP channel) {
      super(channel);
    }

    private BoundedConnection connection() {
      return (BoundedConnection) getHttpChannel().getHttpConnection();
    }

    private static boolean isFinal(int status) {
      return status >= MINIMUM_FINAL_STATUS && status <= MAXIMUM_FINAL_STATUS;
    }

    private void progressed() {
      connection().bytesWithoutContent = 0;
    }

    @Override
    public void startResponse(HttpVersion version, int responseStatus, String reason) {
      if (!isFinal(responseStatus) && !HttpStatus.isInterim(responseStatus)) {
        // The parser takes this as a malformed response, which fails the request.
        throw new BadMessageException("status " + responseStatus + " is none of a response");
      }
      status = responseStatus;
      super.startResponse(version, responseStatus, reason);
    }

    @Override
    public boolean content(ByteBuffer buffer) {
      if (buffer.hasRemaining()) {
        progressed();
      }
      return super.content(buffer);
    }

    @Override
    public boolean messageComplete() {
      if (!HttpStatus.isInterim(status)) {
        progressed();
        excess |= getResponseBuffer().hasRemaining();
      }
      return super.messageComplete();
    }

    /** Closes the connection also if it is idle, which Jetty would keep to use it again. */
    @Override
    public void failAndClose(Throwable failure) {
      boolean idle = getHttpExchange() == null;
      super.failAndClose(failure);
      if (idle) {
        connection().closeIdle(failure);
      }
    }

    /** Returns whether the connection is to be closed after the response. */
    @Override
    protected boolean isShutdown() {
      return excess || super.isShutdown();
    }
  }

  private static final ClientConnectionFactory CONNECTIONS =
      new ClientConnectionFactory() {
        @Override
        public Connection newConnection(EndPoint endPoint, Map<String, Object> context) {
          return customize(new BoundedConnection(endPoint, context), context);
        }
      };

  private BoundedTransport(ClientConnector connector) {
    super(connector);
  }

  /** Returns a client that is not started yet. */
  public static HttpClient createClient(ClientConnector connector) {
    HttpClient client = new HttpClient(new BoundedTransport(connector));
    client.setMaxResponseHeadersSize(MAXIMUM_HEAD_BYTES);
    // Jetty 12.1.5 may clear a connection's buffer after it has released it, which would lose what
    // another connection has read into it, so no buffer is used twice. A new one is cheap on the
    // heap only.
    client.setByteBufferPool(ByteBufferPool.NON_POOLING);
    client.setUseInputDirectByteBuffers(false);
    client.setUseOutputDirectByteBuffers(false);
    return client;
  }

  @Override
  public Connection newConnection(EndPoint endPoint, Map<String, Object> context)
      throws IOException {
    return CONNECTIONS.newConnection(endPoint, context);
  }
}
