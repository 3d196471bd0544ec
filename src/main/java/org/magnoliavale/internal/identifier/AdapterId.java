package org.magnoliavale.internal.identifier;

/** The identifier of an adapter of a model. */
public record AdapterId(String value) implements Comparable<AdapterId> {
  /** Validates the identifier. */
  public AdapterId {
    IdentifierRules.check("AdapterId", value);
  }

  @Override
  public int compareTo(AdapterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
