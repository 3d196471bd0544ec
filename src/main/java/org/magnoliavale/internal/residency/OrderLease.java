package org.magnoliavale.internal.residency;

/** The right to give orders, which one instance of the fleet has at a time. */
public interface OrderLease {
  /** Tells whether this instance may give orders at this moment. */
  boolean isHeld();

  /** Returns the fencing token of the lease held, 0 if none is. */
  long fence();
}
