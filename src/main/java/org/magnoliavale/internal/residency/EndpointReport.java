package org.magnoliavale.internal.residency;

import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.directory.HeldModel;

/**
 * State of an endpoint as it reports it on request.
 *
 * @param models loaded models by name
 * @param busy whether a command is in progress
 * @param sequence number of commands accepted
 * @param bornMs start time of the incarnation in Unix milliseconds; 0 if not reported
 * @param coming adapters that are being loaded, as {@code MODEL/ADAPTER}
 */
public record EndpointReport(
    Map<String, HeldModel> models, boolean busy, long sequence, long bornMs, Set<String> coming) {
  /** Copies the collections. */
  public EndpointReport {
    models = Map.copyOf(models);
    coming = Set.copyOf(coming);
  }
}
