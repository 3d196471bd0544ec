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
import org.magnoliavale.internal.call.CallerResponse;

/** A caller behind Jetty's server. */
final class JettyCallerPort implements CallerResponse {
  private static final class Aborted extends Exception implements QuietException {
    private static final long serialVersionUID = 1L;

    Aborted() {
      super("answer aborted", null, false, false);
    }
  }

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final BooleanSupplier closing;
  private CallerWatch watch;
  private boolean ended;

  /**
   * Returns the port of a request.
   *
   * @param closing whether connections are to be closed after their answer
   */
  JettyCallerPort(Request request, Response response, Callback callback, BooleanSupplier closing) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.closing = closing;
  }

  /** Watches for the caller's leaving until the answer ends. */
  void watch(Runnable left) {
    synchronized (this) {
      if (!ended) {
        watch = CallerWatch.start(request.getConnectionMetaData().getConnection(), left);
      }
    }
  }

  @Override
  public void respond(int status, HttpFields headers, ByteBuffer body) {
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
    // A failed write is a caller that left; the watch or the next write tells.
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
