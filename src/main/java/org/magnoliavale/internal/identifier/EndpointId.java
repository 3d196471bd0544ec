package org.magnoliavale.internal.identifier;

/** The identifier of an endpoint: a worker of an engine pool, or a server of a plain service. */
public record EndpointId(String value) implements Comparable<EndpointId> {
  /** Validates the identifier. */
  public EndpointId {
    IdentifierRules.check("EndpointId", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
