package org.magnoliavale.internal.quota;

import org.magnoliavale.internal.identifier.TenantId;

/**
 * What an instance tells its peers of a tenant.
 *
 * @param tenant the tenant
 * @param demand what its callers ask of the instance, in units a second, also beyond the quota
 * @param used units that the instance has granted since its start; never falls
 * @param recent those of the last window
 */
public record TenantUse(TenantId tenant, double demand, double used, double recent) {}
