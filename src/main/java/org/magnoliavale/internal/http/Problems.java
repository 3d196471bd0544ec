package org.magnoliavale.internal.http;

import java.util.LinkedHashMap;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.Finding;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.json.Json;

/** Formats errors as {@code application/problem+json}. */
public final class Problems {
  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private Problems() {}

  /** Returns the problem's JSON body. */
  public static byte[] body(MagnoliavaleException problem) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("type", "urn:magnoliavale:error:" + problem.code().code());
    body.put("code", problem.code().code());
    body.put("status", problem.code().httpStatus());
    body.put("detail", problem.getMessage());
    if (!problem.findings().isEmpty()) {
      body.put("findings", problem.findings().stream().map(Finding::toString).toList());
    }
    return Json.bytes(body);
  }

  /** Writes the problem as a complete response, with {@code Retry-After} if it has a delay. */
  public static void write(Response response, Callback callback, MagnoliavaleException problem) {
    problem
        .retryAfter()
        .ifPresent(
            delay -> {
              long seconds = Math.ceilDiv(delay.toMillis(), MILLISECONDS_PER_SECOND);
              response.getHeaders().put(HttpHeader.RETRY_AFTER, Math.max(1, seconds));
            });
    HttpResponses.write(
        response, callback, problem.code().httpStatus(), "application/problem+json", body(problem));
  }
}
