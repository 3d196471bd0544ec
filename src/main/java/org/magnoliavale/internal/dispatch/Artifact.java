package org.magnoliavale.internal.dispatch;

import java.util.Optional;

/**
 * A model or one of its adapters.
 *
 * @param model the model's name
 * @param adapter the adapter's name; empty for the model itself
 */
public record Artifact(String model, Optional<String> adapter) {
  private static final char SEPARATOR = '/';

  /** Parses {@code MODEL} or {@code MODEL/ADAPTER}. */
  public static Artifact parse(String text) {
    int slash = text.indexOf(SEPARATOR);
    return slash < 0
        ? new Artifact(text, Optional.empty())
        : new Artifact(text.substring(0, slash), Optional.of(text.substring(slash + 1)));
  }

  /** Returns the base model. */
  public Artifact baseModel() {
    return adapter.isEmpty() ? this : new Artifact(model, Optional.empty());
  }

  // Written out, since the method of a record is linked at its first call and costs more.
  @Override
  public boolean equals(Object other) {
    return other instanceof Artifact artifact
        && model.equals(artifact.model)
        && adapter.equals(artifact.adapter);
  }

  @Override
  public int hashCode() {
    return 31 * model.hashCode() + adapter.hashCode();
  }

  @Override
  public String toString() {
    return adapter.map(name -> model + SEPARATOR + name).orElse(model);
  }
}
