package org.magnoliavale.internal.identifier;

/** The identifier of a pool: endpoints whose placement is managed under one lease. */
public record PoolId(String value) implements Comparable<PoolId> {
  /** Validates the identifier. */
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
