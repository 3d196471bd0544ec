package org.magnoliavale.internal.identifier;

/** Names a model. */
public record ModelId(String value) implements Comparable<ModelId> {
  /** Checks the name. */
  public ModelId {
    IdentifierRules.check("ModelId", value);
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
