package org.magnoliavale.internal.http;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;

/** Base of handlers that may block. Turns exceptions into problem responses. */
public abstract class BlockingHandler extends Handler.Abstract {
  private final Logger log;

  /** Returns a handler that logs unexpected exceptions to {@code log}. */
  protected BlockingHandler(Logger log) {
    super(InvocationType.BLOCKING);
    this.log = log;
  }

  @Override
  public final boolean handle(Request request, Response response, Callback callback) {
    try {
      respond(request, response, callback);
    } catch (MagnoliavaleException e) {
      fail(response, callback, e);
    } catch (Exception e) {
      log.errorf(e, "Request failed. path=%s", Request.getPathInContext(request));
      fail(response, callback, MagnoliavaleException.of(ErrorCode.INTERNAL, "internal error"));
    }
    return true;
  }

  /** Sends the response and completes {@code callback}. */
  protected abstract void respond(Request request, Response response, Callback callback)
      throws Exception;

  private static void fail(Response response, Callback callback, MagnoliavaleException problem) {
    if (response.isCommitted()) {
      // The response head has been sent; only closing the connection can signal the failure.
      callback.failed(problem);
    } else {
      Problems.write(response, callback, problem);
    }
  }
}
