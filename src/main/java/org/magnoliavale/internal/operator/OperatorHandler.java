package org.magnoliavale.internal.operator;

import java.io.IOException;
import java.util.Map;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.traffic.RoutingDecisionHistory;

/**
 * Handles all requests on the operator port. A request that changes anything requires the token of
 * a team or of the administrator. Each request runs on its own thread of the server, which blocks
 * until the response has been written.
 */
public final class OperatorHandler extends BlockingHandler {
  private static final String DOCUMENT_ROOT = "/document";
  private static final String CRASHES_ROOT = "/crashes/";
  private static final String EXPLAIN_ROOT = "/explain/";

  private final DocumentApi documents;
  private final InstanceMetrics metrics;
  private final RoutingDecisionHistory decisions;
  private final CrashRegistry crashes;
  private final StatusSource status;

  /**
   * Creates a handler.
   *
   * @param documents the document operations
   * @param metrics the metrics of the instance
   * @param decisions recent routing decisions
   * @param crashes fingerprints of requests suspected of crashing endpoints
   * @param status the state of the instance
   */
  public OperatorHandler(
      DocumentApi documents,
      InstanceMetrics metrics,
      RoutingDecisionHistory decisions,
      CrashRegistry crashes,
      StatusSource status) {
    super(Logs.of("operator"));
    this.documents = documents;
    this.metrics = metrics;
    this.decisions = decisions;
    this.crashes = crashes;
    this.status = status;
  }

  @Override
  protected void respond(Request request, Response response, Callback callback) throws IOException {
    String path = Request.getPathInContext(request);
    if (path.equals(DOCUMENT_ROOT) || path.startsWith(DOCUMENT_ROOT + "/")) {
      documents.respond(request, response, callback);
      return;
    }
    if (path.startsWith(EXPLAIN_ROOT)) {
      String requestId = path.substring(EXPLAIN_ROOT.length());
      Map<String, Object> body =
          Map.of("request", requestId, "decisions", decisions.explain(requestId));
      HttpResponses.json(response, callback, body);
      return;
    }
    if (path.startsWith(CRASHES_ROOT) && request.getMethod().equals("DELETE")) {
      documents.editor(request);
      boolean lifted = crashes.lift(new Fingerprint(path.substring(CRASHES_ROOT.length())));
      HttpResponses.json(response, callback, Map.of("lifted", lifted));
      return;
    }
    switch (path) {
      case "/crashes" ->
          HttpResponses.json(response, callback, Map.of("suspects", crashes.suspects()));
      case "/metrics" ->
          HttpResponses.write(
              response, callback, HttpStatus.OK_200, "text/plain; version=0.0.4", metrics.text());
      case "/metrics.json" ->
          HttpResponses.write(
              response, callback, HttpStatus.OK_200, "application/json", metrics.json());
      case "/status" -> HttpResponses.json(response, callback, status.status());
      case "/placement" -> HttpResponses.json(response, callback, status.placement());
      default -> throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "no such path: " + path);
    }
  }
}
