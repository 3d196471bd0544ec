package org.magnoliavale.internal.link;

import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.link.protocol.Heartbeat;

/** Provides the state sent to other instances. Called on link threads; must not block. */
public interface PeerState {
  /** Returns the next heartbeat to send. */
  Heartbeat heartbeat();

  /** Returns the active document. */
  DocumentText document();
}
