package org.magnoliavale.internal.gateway;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.call.CallProtocol;
import org.magnoliavale.internal.call.CallRegistry;
import org.magnoliavale.internal.call.CallRequest;
import org.magnoliavale.internal.logging.Logs;

/** Handles caller requests: reads the whole request body and starts a call. Never blocks. */
final class GatewayHandler extends Handler.Abstract.NonBlocking {
  private static final Logger LOG = Logs.of("caller");
  private static final byte[] NO_BODY = {};

  private final CallRegistry calls;
  private final CallProtocol protocol;
  private final IntSupplier maximumBodyBytes;
  private final BooleanSupplier closing;

  GatewayHandler(
      CallRegistry calls,
      CallProtocol protocol,
      IntSupplier maximumBodyBytes,
      BooleanSupplier closing) {
    this.calls = calls;
    this.protocol = protocol;
    this.maximumBodyBytes = maximumBodyBytes;
    this.closing = closing;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    long arrived = System.nanoTime();
    JettyCallerPort port = new JettyCallerPort(request, response, callback, closing);
    if (request.getLength() == 0 || !hasBody(request)) {
      begin(request, NO_BODY, port, arrived);
      return true;
    }
    Content.Source.asByteArrayAsync(request, maximumBodyBytes.getAsInt())
        .whenComplete(
            (body, failure) -> {
              if (failure == null) {
                begin(request, body, port, arrived);
              } else {
                unreadable(request, port, failure);
              }
            });
    return true;
  }

  private static boolean hasBody(Request request) {
    return request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  private void begin(Request request, byte[] body, JettyCallerPort port, long arrived) {
    HttpURI uri = request.getHttpURI();
    CallRequest call =
        new CallRequest(
            request.getMethod(),
            authority(request),
            uri.getPath(),
            uri.getPathQuery(),
            request.getHeaders(),
            body,
            arrived);
    port.watch(calls.begin(call, port));
  }

  private static String authority(Request request) {
    String host = request.getHeaders().get(HttpHeader.HOST);
    return host == null ? "" : host;
  }

  private void unreadable(Request request, JettyCallerPort port, Throwable failure) {
    LOG.infof(
        "Request could not be read. path=%s reason=%s", request.getHttpURI().getPath(), failure);
    if (failure instanceof IllegalStateException) {
      calls.reject(
          protocol.facts(request.getHeaders()),
          port,
          ErrorCode.BODY_TOO_LARGE,
          "the body is too large");
    } else {
      port.abort();
    }
  }
}
