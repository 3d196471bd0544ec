package org.magnoliavale.internal.link;

import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.link.protocol.Heartbeat;

/** What an instance tells the others. Called on link threads; must not block. */
public interface PeerState {
  /** Returns what the next heartbeat says. */
  Heartbeat heartbeat();

  /** Returns the document in force. */
  DocumentText document();
}
