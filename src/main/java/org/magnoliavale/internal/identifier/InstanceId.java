package org.magnoliavale.internal.identifier;

/** Names a magnoliavale instance. */
public record InstanceId(String value) implements Comparable<InstanceId> {
  /** Checks the name. */
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
