package org.magnoliavale.internal.identifier;

/** Names a service: a group of endpoints that answer the same calls. */
public record ServiceId(String value) implements Comparable<ServiceId> {
  /** Checks the name. */
  public ServiceId {
    IdentifierRules.check("ServiceId", value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
