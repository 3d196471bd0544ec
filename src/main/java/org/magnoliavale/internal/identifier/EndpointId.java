package org.magnoliavale.internal.identifier;

/** Names an endpoint (one worker of a pool, or one server of a plain service). */
public record EndpointId(String value) implements Comparable<EndpointId> {
  /** Checks the name. */
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
