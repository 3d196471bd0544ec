package org.magnoliavale.internal.traffic;

import org.magnoliavale.internal.routing.ModelName;

/** What a request is for. */
public sealed interface Target {
  /** A model, with or without an adapter. */
  record OfModel(ModelName name) implements Target {
    @Override
    public String toString() {
      return name.toString();
    }
  }

  /** A plain service. */
  record OfService(String name) implements Target {
    @Override
    public String toString() {
      return name;
    }
  }
}
