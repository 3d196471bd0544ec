package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Receives the events of one attempt. The last event is either {@link #completed} or {@link
 * #failed}.
 */
public interface AttemptListener {
  /** Called when status and headers have arrived. */
  void began(int status, HttpFields headers);

  /**
   * Called with a part of the body. The listener must copy the bytes, and runs {@code demand} to
   * receive more.
   */
  void content(ByteBuffer bytes, Runnable demand);

  /** Called when the response is complete. */
  void completed();

  /** Called when the attempt ends without a complete response. */
  void failed(AttemptFailure failure, String reason);
}
