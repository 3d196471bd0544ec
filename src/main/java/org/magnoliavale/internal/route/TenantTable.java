package org.magnoliavale.internal.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The tenants of a configuration, found by the keys of their callers. Immutable. */
public final class TenantTable {
  private static final TenantTable NONE = new TenantTable(List.of());

  private final List<Tenant> tenants;
  private final Map<String, Tenant> byKey = new HashMap<>();

  private TenantTable(Collection<Tenant> tenants) {
    this.tenants = List.copyOf(tenants);
    for (Tenant tenant : this.tenants) {
      tenant.keys().forEach(key -> byKey.putIfAbsent(key, tenant));
    }
  }

  /** Returns a table without tenants; no request needs a key then. */
  public static TenantTable none() {
    return NONE;
  }

  /** Returns a table of tenants; a key that several of them list belongs to the first one. */
  public static TenantTable of(Collection<Tenant> tenants) {
    return new TenantTable(tenants);
  }

  /** Returns whether the configuration has tenants. */
  public boolean isEmpty() {
    return tenants.isEmpty();
  }

  /** Returns all tenants, in the order of the configuration. */
  public List<Tenant> tenants() {
    return tenants;
  }

  /** Returns the tenant that a key belongs to. */
  public Optional<Tenant> ofKey(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns whether a key belongs to a tenant. */
  public boolean hasKey(String key) {
    return byKey.containsKey(key);
  }
}
