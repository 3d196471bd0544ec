package org.magnoliavale.internal.residency;

/** The lease that lets one instance of the fleet at a time send commands to endpoints. */
public interface CommandLease {
  /** Returns whether this instance may send commands now. */
  boolean isHeld();

  /** Returns the fencing token of the lease; 0 if it is not held. */
  long fencingToken();

  /** Records that an endpoint has rejected a token, because it has seen a higher one. */
  void fencedOff(long token);
}
