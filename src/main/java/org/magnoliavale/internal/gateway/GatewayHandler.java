package org.magnoliavale.internal.gateway;

import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.magnoliavale.internal.call.CallMetadata;
import org.magnoliavale.internal.call.CallProtocol;
import org.magnoliavale.internal.call.CallRegistry;
import org.magnoliavale.internal.call.CallRequest;
import org.magnoliavale.internal.logging.Logs;

/**
 * Handles caller requests: reads the whole request body and starts a call. Never blocks. Counts the
 * requests in progress, from their head to the last byte of their response.
 */
final class GatewayHandler extends Handler.Abstract.NonBlocking {
  private static final Logger LOG = Logs.of("caller");
  private static final byte[] NO_BODY = {};

  private final CallRegistry calls;
  private final CallProtocol protocol;
  private final IntSupplier maximumBodyBytes;
  private final BooleanSupplier closeConnection;
  private final Runnable callStarted;
  private final AtomicInteger requestsInProgress = new AtomicInteger();

  GatewayHandler(
      CallRegistry calls,
      CallProtocol protocol,
      IntSupplier maximumBodyBytes,
      BooleanSupplier closeConnection,
      Runnable callStarted) {
    this.calls = calls;
    this.protocol = protocol;
    this.maximumBodyBytes = maximumBodyBytes;
    this.closeConnection = closeConnection;
    this.callStarted = callStarted;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    long arrivalNanos = System.nanoTime();
    requestsInProgress.incrementAndGet();
    Callback counted = Callback.from(callback, requestsInProgress::decrementAndGet);
    JettyResponseWriter writer =
        new JettyResponseWriter(request, response, counted, closeConnection);
    contain(writer, () -> read(request, writer, arrivalNanos));
    return true;
  }

  private void read(Request request, JettyResponseWriter writer, long arrivalNanos) {
    if (request.getLength() == 0 || !hasBody(request)) {
      startCall(request, NO_BODY, writer, arrivalNanos);
      return;
    }
    long limit = bodyLimit();
    // One byte more than the limit shows that the body is longer.
    Content.Source.asByteArrayAsync(new TruncatedContent(request, limit + 1), -1)
        .whenComplete(
            (body, failure) ->
                contain(
                    writer,
                    () -> {
                      if (failure != null) {
                        rejectUnreadable(request, writer, failure);
                      } else if (body.length > limit) {
                        rejectTooLarge(request, writer);
                      } else {
                        startCall(request, body, writer, arrivalNanos);
                      }
                    }));
  }

  /**
   * Runs a step of a request; an exception is counted, and the request is answered all the same.
   */
  private void contain(JettyResponseWriter writer, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      calls.failures().record(e, "Request could not be handled.");
      if (writer.isBegun()) {
        writer.abort();
      } else {
        calls.reject(CallMetadata.unknown(), writer, ErrorCode.INTERNAL, "internal error");
      }
    }
  }

  /** Returns the number of requests whose responses are not written completely. */
  int requestsInProgress() {
    return requestsInProgress.get();
  }

  /** Returns the maximum size of a body; a negative number stands for none. */
  private long bodyLimit() {
    int bytes = maximumBodyBytes.getAsInt();
    return bytes < 0 ? Integer.MAX_VALUE : bytes;
  }

  private static boolean hasBody(Request request) {
    return request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  private void startCall(
      Request request, byte[] body, JettyResponseWriter writer, long arrivalNanos) {
    HttpURI uri = request.getHttpURI();
    CallRequest call =
        new CallRequest(
            request.getMethod(),
            authority(request),
            uri.getPath(),
            uri.getPathQuery(),
            request.getHeaders(),
            body,
            arrivalNanos);
    writer.monitorDisconnect(calls.begin(call, writer));
    callStarted.run();
  }

  private static String authority(Request request) {
    String host = request.getHeaders().get(HttpHeader.HOST);
    return host == null ? "" : host;
  }

  private void rejectUnreadable(Request request, JettyResponseWriter writer, Throwable failure) {
    LOG.infof(
        "Request could not be read. path=%s reason=%s", request.getHttpURI().getPath(), failure);
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof IllegalStateException) {
      rejectTooLarge(request, writer);
    } else {
      writer.abort();
    }
  }

  private void rejectTooLarge(Request request, JettyResponseWriter writer) {
    calls.reject(
        protocol.parseRequest(request.getHeaders()),
        writer,
        ErrorCode.BODY_TOO_LARGE,
        "the body is too large");
  }
}
