package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** Hears of one attempt. Exactly one of {@link #completed} and {@link #failed} comes last. */
public interface AttemptListener {
  /** The head of the answer is there. */
  void began(int status, HttpFields headers);

  /** A part of the body is there; it must be copied, and {@code demand} asks for more. */
  void content(ByteBuffer bytes, Runnable demand);

  /** The answer is complete. */
  void completed();

  /** No whole answer came. */
  void failed(AttemptFailure failure, String reason);
}
