package org.magnoliavale.internal.tenant;

import java.time.Duration;

/**
 * Settings of the check of callers' keys.
 *
 * @param revocationTime time within which a key that was taken away is refused by all instances
 * @param strictRevocation whether an instance that can't know for that time whether keys were taken
 *     away refuses calls that need one
 */
public record TenantSettings(Duration revocationTime, boolean strictRevocation) {
  private static final Duration DEFAULT_REVOCATION_TIME = Duration.ofSeconds(5);

  /** Returns the settings of a deployment that states none. */
  public static TenantSettings none() {
    return new TenantSettings(DEFAULT_REVOCATION_TIME, false);
  }
}
