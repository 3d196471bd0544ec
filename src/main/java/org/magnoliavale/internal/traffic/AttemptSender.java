package org.magnoliavale.internal.traffic;

/** Sends attempts to endpoints and waits for the start of their answers. */
public interface AttemptSender {
  /** Sends an attempt over a connection that may have been used before. */
  AttemptStart send(AttemptRequest attempt);

  /** Sends an attempt that may not be repeated, over a connection of its own. */
  AttemptStart sendOnce(AttemptRequest attempt);
}
