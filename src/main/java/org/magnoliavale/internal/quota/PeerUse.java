package org.magnoliavale.internal.quota;

/** What a peer has said last of a tenant. */
record PeerUse(long startMs, double demand, double used) {
  /**
   * Returns what the peer has granted since.
   *
   * @param recent what it has granted in the last window, in case it has started again since
   */
  double increase(long newStartMs, double newUsed, double recent) {
    return newStartMs == startMs ? Math.max(0, newUsed - used) : Math.min(newUsed, recent);
  }
}
