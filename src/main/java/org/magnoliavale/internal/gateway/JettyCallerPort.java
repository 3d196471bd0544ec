package org.magnoliavale.internal.gateway;

import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.internal.call.CallerPort;

/**
 * Writes the response of one request through Jetty's server. The first of {@link #answer}, {@link
 * #finish} and {@link #abort} completes the response; later ones have no effect.
 */
final class JettyCallerPort implements CallerPort {
  private static final class Aborted extends Exception implements QuietException {
    private static final long serialVersionUID = 1L;

    Aborted() {
      super("response aborted", null, false, false);
    }
  }

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final BooleanSupplier closing;
  private CallerWatch watch;
  private boolean ended;

  /**
   * Returns the response writer of a request.
   *
   * @param closing whether the connection is to be closed after the response
   */
  JettyCallerPort(Request request, Response response, Callback callback, BooleanSupplier closing) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.closing = closing;
  }

  /** Runs {@code left} if the caller disconnects before the response is completed. */
  void watch(Runnable left) {
    synchronized (this) {
      if (!ended) {
        watch = CallerWatch.start(request.getConnectionMetaData().getConnection(), left);
      }
    }
  }

  @Override
  public void answer(int status, HttpFields headers, ByteBuffer body) {
    if (!endOnce()) {
      return;
    }
    head(status, headers);
    if (status != 204 && status != 304) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.remaining());
    }
    response.write(true, body, callback);
  }

  @Override
  public void begin(int status, HttpFields headers) {
    head(status, headers);
  }

  private void head(int status, HttpFields headers) {
    response.setStatus(status);
    for (HttpField field : headers) {
      response.getHeaders().add(field);
    }
    if (closing.getAsBoolean()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  @Override
  public void write(ByteBuffer bytes, Runnable written) {
    // A write fails if the caller has disconnected, which the monitor or a later write reports.
    response.write(false, bytes, Callback.from(written, ignored -> written.run()));
  }

  @Override
  public void finish() {
    if (endOnce()) {
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    }
  }

  @Override
  public void abort() {
    if (endOnce()) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new Aborted());
    }
  }

  private boolean endOnce() {
    CallerWatch ending;
    synchronized (this) {
      if (ended) {
        return false;
      }
      ended = true;
      ending = watch;
    }
    if (ending != null) {
      ending.end();
    }
    return true;
  }
}
