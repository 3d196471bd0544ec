package org.magnoliavale.internal.route;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.magnoliavale.internal.identifier.TenantId;

/**
 * A tenant in the configuration.
 *
 * @param id the tenant's id, which endpoints are told
 * @param keys the keys of its callers; secret, and in no log
 * @param priority the priority of its requests, which replaces that of their routes; 0 is the most
 *     urgent
 * @param quota what it may use; empty for no limit
 */
public record Tenant(TenantId id, Set<String> keys, OptionalInt priority, Optional<Quota> quota) {
  /** Weight of a tenant without a quota, beside others that have one. */
  private static final double UNLIMITED_WEIGHT = 1_000_000;

  /** Copies the keys. */
  public Tenant {
    keys = Set.copyOf(keys);
  }

  /** Returns the tenant's share of what is scarce, in proportion to those of other tenants. */
  public double weight() {
    return quota.map(Quota::perSecond).orElse(UNLIMITED_WEIGHT);
  }

  /** Leaves the keys out. */
  @Override
  public String toString() {
    return "Tenant[id=" + id + ", keys=" + keys.size() + "]";
  }
}
