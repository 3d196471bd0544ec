package org.magnoliavale.internal.link;

import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.link.protocol.Heartbeat;

/** Receives state from other instances. Called on the event loop thread; must not block. */
public interface PeerListener {
  /** Called when an authenticated instance sent a heartbeat. */
  void heartbeatReceived(String instance, Heartbeat heartbeat);

  /** Called when an authenticated instance sent its document. */
  void documentReceived(DocumentText document);
}
