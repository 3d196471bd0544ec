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

  // Written out, since the method of a record is linked at its first call and costs more.
  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceId service && value.equals(service.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
