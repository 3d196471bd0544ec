package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Receives the events of one attempt. The last event is either {@link #onCompleted} or {@link
 * #onFailed}.
 */
public interface AttemptListener {
  /** Called when status and headers have arrived. */
  void onResponseHead(int status, HttpFields headers);

  /**
   * Called with a part of the body. The listener must copy the bytes, and runs {@code demand} to
   * receive more.
   */
  void onContent(ByteBuffer bytes, Runnable demand);

  /** Called with what is known about the end, just before the last event. */
  void onEnd(AttemptEnd end);

  /** Called when the response is complete. */
  void onCompleted();

  /** Called when the attempt ends without a complete response. */
  void onFailed(AttemptFailure failure, String reason);
}
