package org.magnoliavale.internal.traffic;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.PlainService;
import org.magnoliavale.internal.http.EngineHeaders;
import org.magnoliavale.internal.http.Replies;

/** Handles requests to plain services. */
final class ServiceCalls {
  /** Path prefix of the services. */
  static final String ROOT = "/services/";

  private final Forwarder forwarder;
  private final OrderDesk orders;

  ServiceCalls(Forwarder forwarder, OrderDesk orders) {
    this.forwarder = forwarder;
    this.orders = orders;
  }

  void call(
      RequestContext context, Request request, byte[] body, Response response, Callback callback) {
    String path = Request.getPathInContext(request).substring(ROOT.length());
    int slash = path.indexOf('/');
    String name = slash < 0 ? path : path.substring(0, slash);
    String rest = slash < 0 ? "/" : path.substring(slash);
    PlainService service = forwarder.routing().snapshot().document().services().get(name);
    if (service == null) {
      throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "unknown service " + name);
    }
    String query = request.getHttpURI().getQuery();
    CallTemplate template =
        new CallTemplate(
            request.getMethod(),
            query == null ? rest : rest + "?" + query,
            passedHeaders(request.getHeaders()),
            body,
            false);
    boolean idempotent = service.isIdempotent(request.getMethod(), rest);
    if (!idempotent && service.refusesKeylessOrders() && key(request) == null) {
      throw MagnoliavaleException.of(
          ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
          "non-idempotent request requires the header " + EngineHeaders.IDEMPOTENCY_KEY);
    }
    WholeAnswer answer =
        idempotent
            ? forwarder.whole(context, new Target.OfService(name), template)
            : orders.place(context, service, request.getHeaders(), template);
    Replies.write(response, callback, answer.status(), answer.contentType(), answer.body());
  }

  private static String key(Request request) {
    return request.getHeaders().get(EngineHeaders.IDEMPOTENCY_KEY);
  }

  private static HttpFields passedHeaders(HttpFields headers) {
    HttpFields.Mutable passed = HttpFields.build();
    for (HttpHeader header :
        new HttpHeader[] {HttpHeader.CONTENT_TYPE, HttpHeader.ACCEPT, HttpHeader.ACCEPT_LANGUAGE}) {
      String value = headers.get(header);
      if (value != null) {
        passed.put(header, value);
      }
    }
    return passed;
  }
}
