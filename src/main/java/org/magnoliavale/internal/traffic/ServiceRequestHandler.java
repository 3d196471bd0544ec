package org.magnoliavale.internal.traffic;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.PlainService;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.http.HttpResponses;

/** Handles requests to plain services. */
final class ServiceRequestHandler {
  /** Path prefix of the services. */
  static final String PATH_PREFIX = "/services/";

  private final Forwarder forwarder;
  private final AtMostOnceForwarder atMostOnceForwarder;

  ServiceRequestHandler(Forwarder forwarder, AtMostOnceForwarder atMostOnceForwarder) {
    this.forwarder = forwarder;
    this.atMostOnceForwarder = atMostOnceForwarder;
  }

  void handle(
      RequestContext context, Request request, byte[] body, Response response, Callback callback) {
    String wholePath = request.getHttpURI().getPath();
    if (!wholePath.startsWith(PATH_PREFIX)) {
      throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "no such path: " + wholePath);
    }
    String path = wholePath.substring(PATH_PREFIX.length());
    int slash = path.indexOf('/');
    String name = slash < 0 ? path : path.substring(0, slash);
    String servicePath = slash < 0 ? "/" : path.substring(slash);
    PlainService service = forwarder.endpointSelector().snapshot().document().services().get(name);
    if (service == null) {
      throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "unknown service " + name);
    }
    String query = request.getHttpURI().getQuery();
    RequestTemplate template =
        new RequestTemplate(
            request.getMethod(),
            query == null ? servicePath : servicePath + "?" + query,
            forwardedHeaders(request.getHeaders()),
            body,
            false);
    boolean idempotent = service.isIdempotent(request.getMethod(), servicePath);
    if (!idempotent && service.requiresIdempotencyKey() && idempotencyKey(request) == null) {
      throw MagnoliavaleException.of(
          ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
          "non-idempotent request requires the header " + HeaderNames.IDEMPOTENCY_KEY);
    }
    BufferedResponse endpointResponse =
        idempotent
            ? forwarder.forward(context, new Target.OfService(name), template)
            : atMostOnceForwarder.forward(context, service, request.getHeaders(), template);
    HttpResponses.write(
        response,
        callback,
        endpointResponse.status(),
        endpointResponse.contentType(),
        endpointResponse.body());
  }

  private static String idempotencyKey(Request request) {
    return request.getHeaders().get(HeaderNames.IDEMPOTENCY_KEY);
  }

  private static HttpFields forwardedHeaders(HttpFields headers) {
    HttpFields.Mutable forwarded = HttpFields.build();
    for (HttpHeader header :
        new HttpHeader[] {HttpHeader.CONTENT_TYPE, HttpHeader.ACCEPT, HttpHeader.ACCEPT_LANGUAGE}) {
      String value = headers.get(header);
      if (value != null) {
        forwarded.put(header, value);
      }
    }
    return forwarded;
  }
}
