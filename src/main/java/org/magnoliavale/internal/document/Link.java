package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.DataCentreId;

/**
 * The network between two data centres.
 *
 * @param from one end
 * @param to the other end
 * @param oneWayMicroseconds one-way latency in microseconds
 */
public record Link(DataCentreId from, DataCentreId to, int oneWayMicroseconds) {
  /** Tells whether the link joins these two data centres, in either direction. */
  public boolean joins(DataCentreId one, DataCentreId other) {
    return from.equals(one) && to.equals(other) || from.equals(other) && to.equals(one);
  }
}
