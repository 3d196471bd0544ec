package org.magnoliavale.internal.identifier;

/** The identifier of a team. */
public record TeamId(String value) implements Comparable<TeamId> {
  /** Validates the identifier. */
  public TeamId {
    IdentifierRules.check("TeamId", value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
