package org.magnoliavale.internal.lease;

/**
 * The row that changes only when the lease changes hands. Every write of the holder requires the
 * version that this row had when the holder took the lease.
 *
 * @param epoch the epoch
 * @param holder name and incarnation of the holder
 */
public record EpochRow(long epoch, String holder) {}
