package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** The caller's end of a call. Exactly one of its endings is used. */
public interface CallerPort {
  /** Sends a whole answer. */
  void answer(int status, HttpFields headers, ByteBuffer body);

  /** Begins an answer of unknown length. */
  void begin(int status, HttpFields headers);

  /** Sends a part of the answer; {@code written} runs when the next may be sent. */
  void write(ByteBuffer bytes, Runnable written);

  /** Ends an answer of unknown length properly. */
  void finish();

  /** Closes the connection, so that the answer does not look complete. */
  void abort();
}
