package org.magnoliavale.internal.identifier;

/** Names a team. */
public record TeamId(String value) implements Comparable<TeamId> {
  /** Checks the name. */
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
