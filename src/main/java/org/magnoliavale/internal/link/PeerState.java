package org.magnoliavale.internal.link;

import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.link.protocol.Heartbeat;

/** Provides the state sent to other instances. Called on link threads; must not block. */
public interface PeerState {
  /**
   * Returns the next heartbeat to send.
   *
   * @param relays whether other instances get it instead of those of the instances it heard of
   */
  default Heartbeat heartbeat(boolean relays) {
    return heartbeat();
  }

  /** Returns the next heartbeat to send by an instance that does not relay. */
  Heartbeat heartbeat();

  /** Returns the active document. */
  DocumentText document();
}
