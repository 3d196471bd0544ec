package org.magnoliavale.internal.identifier;

/** The identifier of a service: a group of endpoints that serve the same requests. */
public record ServiceId(String value) implements Comparable<ServiceId> {
  /** Validates the identifier. */
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
