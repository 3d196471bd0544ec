package org.magnoliavale.internal.lease;

/**
 * The row that changes only when the lease is acquired. Every write of the holder requires the
 * version that this row had when the holder acquired the lease.
 *
 * @param epoch the epoch, which grows with every acquisition
 * @param holder name and incarnation of the holder
 */
public record EpochRow(long epoch, String holder) {}
