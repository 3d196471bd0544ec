package org.magnoliavale.internal.residency;

import java.util.Map;
import java.util.Set;
import org.magnoliavale.internal.directory.LoadedModel;

/**
 * State of an endpoint as it reports it on request.
 *
 * @param models loaded models by name
 * @param busy whether a command is in progress
 * @param sequence number of commands accepted
 * @param startedAtMs start time of the incarnation in Unix milliseconds; 0 if not reported
 * @param loading adapters that are being loaded, as {@code MODEL/ADAPTER}
 */
public record EndpointReport(
    Map<String, LoadedModel> models,
    boolean busy,
    long sequence,
    long startedAtMs,
    Set<String> loading) {
  /** Copies the collections. */
  public EndpointReport {
    models = Map.copyOf(models);
    loading = Set.copyOf(loading);
  }
}
