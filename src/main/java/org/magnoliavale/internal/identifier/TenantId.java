package org.magnoliavale.internal.identifier;

/** The identifier of a tenant: a customer of the operator whose callers share keys and a quota. */
public record TenantId(String value) implements Comparable<TenantId> {
  /** Validates the identifier. */
  public TenantId {
    IdentifierRules.check("TenantId", value);
  }

  @Override
  public int compareTo(TenantId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
