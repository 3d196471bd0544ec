package org.magnoliavale.internal.call;

import org.magnoliavale.internal.dispatch.EndpointChoice;
import org.magnoliavale.internal.dispatch.SelectionCriteria;

/** Selects the endpoint of an attempt, and counts the attempt as in flight there. */
@FunctionalInterface
public interface EndpointChooser {
  /**
   * Selects an endpoint.
   *
   * @param connectionLimit connections that an endpoint accepts from the whole fleet
   */
  EndpointChoice choose(SelectionCriteria criteria, int connectionLimit, long nowNanos);
}
