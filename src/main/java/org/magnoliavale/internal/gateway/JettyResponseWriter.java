package org.magnoliavale.internal.gateway;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.internal.call.CallerResponse;
import org.magnoliavale.internal.http.StreamFraming;

/**
 * Writes the response of one request through Jetty's server. The first of {@link #respond}, {@link
 * #finish} and {@link #abort} completes the response; later calls of these have no effect. A
 * response of which a write has failed is aborted by {@link #finish}.
 */
final class JettyResponseWriter implements CallerResponse {
  private static final class Aborted extends Exception implements QuietException {
    private static final long serialVersionUID = 1L;

    Aborted() {
      super("response aborted", null, false, false);
    }
  }

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final BooleanSupplier closeConnection;
  private CallerDisconnectMonitor disconnectMonitor;
  private boolean completed;
  private volatile boolean writeFailed;

  /**
   * Returns the response writer of a request.
   *
   * @param closeConnection whether the connection is to be closed after the response
   */
  JettyResponseWriter(
      Request request, Response response, Callback callback, BooleanSupplier closeConnection) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.closeConnection = closeConnection;
  }

  /** Runs {@code onDisconnect} if the caller disconnects before the response is completed. */
  void monitorDisconnect(Runnable onDisconnect) {
    synchronized (this) {
      if (!completed) {
        disconnectMonitor =
            CallerDisconnectMonitor.start(
                request.getConnectionMetaData().getConnection(), onDisconnect);
      }
    }
  }

  @Override
  public void respond(int status, HttpFields headers, ByteBuffer body) {
    complete(
        () -> {
          setStatusAndHeaders(status, headers);
          if (status != 204 && status != 304) {
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.remaining());
          }
          response.write(true, body, callback);
        });
  }

  /** Returns whether the response, or an earlier part of it, has been given to the server. */
  boolean isBegun() {
    return response.isCommitted();
  }

  @Override
  public void begin(int status, HttpFields headers) {
    setStatusAndHeaders(status, headers);
    StreamFraming.begin(response);
  }

  private void setStatusAndHeaders(int status, HttpFields headers) {
    response.setStatus(status);
    for (HttpField field : headers) {
      response.getHeaders().add(field);
    }
    if (closeConnection.getAsBoolean()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  @Override
  public void write(ByteBuffer bytes, Runnable written) {
    // A write fails if the caller has disconnected, which the monitor or a later write reports, or
    // if it reads nothing for long.
    response.write(false, bytes, Callback.from(written, ignored -> writeFailed(written)));
  }

  private void writeFailed(Runnable written) {
    writeFailed = true;
    written.run();
  }

  @Override
  public void finish() {
    if (writeFailed) {
      abort();
    } else {
      complete(this::writeEnd);
    }
  }

  @Override
  public void abort() {
    complete(this::close);
  }

  private void writeEnd() {
    StreamFraming.complete(response);
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
  }

  private void close() {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    endPoint.close();
    callback.failed(new Aborted());
  }

  /** Completes the response, if it is not completed yet; an exception closes the connection. */
  private void complete(Runnable end) {
    Optional<CallerDisconnectMonitor> monitor;
    synchronized (this) {
      if (completed) {
        return;
      }
      completed = true;
      monitor = Optional.ofNullable(disconnectMonitor);
    }
    try {
      monitor.ifPresent(CallerDisconnectMonitor::stop);
      end.run();
    } catch (RuntimeException | Error e) {
      close();
      throw e;
    }
  }
}
