package org.magnoliavale.internal.directory;

import java.util.Set;

/**
 * A model that an endpoint holds.
 *
 * @param name the model's name
 * @param adapters its adapters that the endpoint holds too
 */
public record HeldModel(String name, Set<String> adapters) {
  /** Takes a copy. */
  public HeldModel {
    adapters = Set.copyOf(adapters);
  }
}
