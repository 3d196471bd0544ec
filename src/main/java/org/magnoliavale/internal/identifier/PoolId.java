package org.magnoliavale.internal.identifier;

/** Names a pool: the endpoints of one deployment's engine or service. */
public record PoolId(String value) implements Comparable<PoolId> {
  /** Checks the name. */
  public PoolId {
    IdentifierRules.check("PoolId", value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
