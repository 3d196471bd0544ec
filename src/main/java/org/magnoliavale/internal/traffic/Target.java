package org.magnoliavale.internal.traffic;

import org.magnoliavale.internal.routing.ModelName;

/** The model or service that a request is routed to. */
public sealed interface Target {
  /** A model, optionally with an adapter. */
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
