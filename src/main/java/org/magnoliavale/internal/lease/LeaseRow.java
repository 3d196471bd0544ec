package org.magnoliavale.internal.lease;

/**
 * The row that a holder renews.
 *
 * @param holder name and incarnation of the holder
 * @param epoch the epoch that the holder took
 * @param token unique to each write, so that a lost answer can be resolved by reading
 * @param released whether the holder has handed the lease over
 */
public record LeaseRow(String holder, long epoch, String token, boolean released) {}
