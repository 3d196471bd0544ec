package org.magnoliavale.internal.traffic;

import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.document.PlainService;

/** Places calls that may not be repeated. */
public interface OrderDesk {
  /**
   * Runs the call at most once and returns its whole answer.
   *
   * @throws org.magnoliavale.MagnoliavaleException with {@code ORDER_NOT_RUN} when it certainly was
   *     not run, or {@code ORDER_OUTCOME_UNKNOWN} when that can't be told
   */
  WholeAnswer place(
      RequestContext context, PlainService service, HttpFields headers, CallTemplate template);
}
