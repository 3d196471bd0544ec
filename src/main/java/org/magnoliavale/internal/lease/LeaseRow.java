package org.magnoliavale.internal.lease;

/**
 * The row that a holder renews.
 *
 * @param holder name and incarnation of the holder
 * @param epoch the epoch in which the holder acquired the lease
 * @param token unique to each write, so that a lost response can be resolved by a read
 * @param released whether the holder has released the lease
 */
public record LeaseRow(String holder, long epoch, String token, boolean released) {}
