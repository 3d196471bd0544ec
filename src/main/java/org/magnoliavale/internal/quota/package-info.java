/**
 * Keeps the quotas of tenants: how much each may use of all instances together.
 *
 * <p>{@link org.magnoliavale.internal.quota.TenantQuotas} is the façade. Instances tell each other
 * in their heartbeats what each tenant asks of them and has used; no instance asks another before
 * it grants a request.
 *
 * <p>It performs no I/O and reads no clock: times are parameters, in nanoseconds of a monotonic
 * clock.
 */
package org.magnoliavale.internal.quota;
