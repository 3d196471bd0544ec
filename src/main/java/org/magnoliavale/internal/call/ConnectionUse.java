package org.magnoliavale.internal.call;

/** Which connection an attempt is sent on. */
public enum ConnectionUse {
  /** A kept connection if there is one, which is kept for further attempts. */
  POOLED,

  /** A connection that has carried no other attempt and is closed after this one. */
  OWN
}
