package org.magnoliavale.internal.link;

import org.magnoliavale.internal.document.DocumentText;
import org.magnoliavale.internal.link.protocol.Heartbeat;

/** Takes in what other instances say. Called on link threads; must not block. */
public interface PeerListener {
  /** An authenticated instance sent a heartbeat. */
  void heartbeatReceived(String instance, Heartbeat heartbeat);

  /** An authenticated instance sent its document. */
  void documentReceived(DocumentText document);
}
