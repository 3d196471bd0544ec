package org.magnoliavale.internal.identifier;

/** The identifier of a magnoliavale instance. */
public record InstanceId(String value) implements Comparable<InstanceId> {
  /** Validates the identifier. */
  public InstanceId {
    IdentifierRules.check("InstanceId", value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
