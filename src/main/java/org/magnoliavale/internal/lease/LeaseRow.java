package org.magnoliavale.internal.lease;

/**
 * The row that a holder renews.
 *
 * @param holder name and incarnation of the holder
 * @param epoch the epoch in which the holder acquired the lease
 * @param token unique to each write, so that a lost response can be resolved by a read
 * @param released whether the holder has released the lease
 */
public record LeaseRow(String holder, long epoch, String token, boolean released) {
  /**
   * Returns whether the holder is another incarnation of an instance.
   *
   * @param self the instance as {@code NAME/INCARNATION}
   */
  boolean isOfOtherIncarnation(String self) {
    String instance = self.substring(0, self.indexOf('/') + 1);
    return !instance.isEmpty() && holder.startsWith(instance) && !holder.equals(self);
  }
}
