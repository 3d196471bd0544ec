/**
 * Leases stored in the platform's table.
 *
 * <p>{@link org.magnoliavale.internal.lease.LeaseManager} is the state machine of one lease. {@link
 * org.magnoliavale.internal.lease.LeaseRow} and {@link org.magnoliavale.internal.lease.EpochRow}
 * are its stored rows, and {@link org.magnoliavale.internal.lease.LeaseTimes} its timing.
 *
 * <p>The package starts no threads and its classes are not thread-safe; callers synchronize. It
 * performs no I/O and reads no clock: times are parameters, and callers make the table calls.
 */
package org.magnoliavale.internal.lease;
