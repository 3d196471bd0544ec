package org.magnoliavale.internal.residency;

import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.directory.HeldModel;

/**
 * What an endpoint reports when it is asked.
 *
 * @param models models that it holds, by name
 * @param busy whether an order is in progress
 * @param sequence orders that it has accepted
 * @param bornMs start of its incarnation; 0 if it is not told
 * @param coming adapters that are being loaded, as {@code MODEL/ADAPTER}
 */
public record EndpointReport(
    Map<String, HeldModel> models, boolean busy, long sequence, long bornMs, Set<String> coming) {
  /** Takes copies. */
  public EndpointReport {
    models = Map.copyOf(models);
    coming = Set.copyOf(coming);
  }
}
