package org.magnoliavale.internal.identifier;

/** The identifier of a model. */
public record ModelId(String value) implements Comparable<ModelId> {
  /** Validates the identifier. */
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
