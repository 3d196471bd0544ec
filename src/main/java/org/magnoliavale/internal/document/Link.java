package org.magnoliavale.internal.document;

import org.magnoliavale.internal.identifier.DataCentreId;

/**
 * The network between two data centres.
 *
 * @param from the first data centre
 * @param to the second data centre
 * @param oneWayMicroseconds one-way latency in microseconds
 */
public record Link(DataCentreId from, DataCentreId to, int oneWayMicroseconds) {
  /** Returns whether the link connects these two data centres, in either direction. */
  public boolean connects(DataCentreId one, DataCentreId other) {
    return from.equals(one) && to.equals(other) || from.equals(other) && to.equals(one);
  }
}
