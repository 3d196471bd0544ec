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
  /** Copies the keys. */
  public Tenant {
    keys = Set.copyOf(keys);
  }

  /** Leaves the keys out. */
  @Override
  public String toString() {
    return "Tenant[id=" + id + ", keys=" + keys.size() + "]";
  }
}
