package org.magnoliavale.internal.tenant;

import java.util.Optional;
import org.magnoliavale.internal.route.Tenant;

/** Whom a call belongs to, once its key has been checked. */
public sealed interface CallerIdentity {
  /** The configuration has no tenants, so no key was asked for. */
  record Unchecked() implements CallerIdentity {}

  /** The call has no valid key, and its route is open. */
  record Anonymous() implements CallerIdentity {}

  /**
   * The call has a key of a tenant.
   *
   * @param tenant the tenant, as the configuration had it when the call arrived
   */
  record Known(Tenant tenant) implements CallerIdentity {}

  /** Returns the tenant, if there is one. */
  default Optional<Tenant> knownTenant() {
    return this instanceof Known(Tenant tenant) ? Optional.of(tenant) : Optional.empty();
  }

  /** Returns whether keys are in use, and so hidden from endpoints. */
  default boolean isChecked() {
    return !(this instanceof Unchecked);
  }
}
