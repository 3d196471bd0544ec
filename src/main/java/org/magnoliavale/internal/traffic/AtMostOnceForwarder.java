package org.magnoliavale.internal.traffic;

import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.document.PlainService;

/** Forwards non-idempotent requests. */
public interface AtMostOnceForwarder {
  /**
   * Executes the request at most once and returns its complete response.
   *
   * @throws org.magnoliavale.MagnoliavaleException with {@code ORDER_NOT_RUN} if the request was
   *     definitely not executed, or {@code ORDER_OUTCOME_UNKNOWN} if it may have been
   */
  BufferedResponse forward(
      RequestContext context, PlainService service, HttpFields headers, RequestTemplate template);
}
