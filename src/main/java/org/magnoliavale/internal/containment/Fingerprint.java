package org.magnoliavale.internal.containment;

import java.nio.charset.StandardCharsets;
import org.magnoliavale.internal.document.TokenHash;

/**
 * Recognises a request that is sent again.
 *
 * @param value hexadecimal hash of the request's path and body
 */
public record Fingerprint(String value) {
  /** Returns the fingerprint of a request. */
  public static Fingerprint of(String path, byte[] body) {
    byte[] head = (path + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] content = new byte[head.length + body.length];
    System.arraycopy(head, 0, content, 0, head.length);
    System.arraycopy(body, 0, content, head.length, body.length);
    return new Fingerprint(TokenHash.of(content));
  }

  @Override
  public String toString() {
    return value.substring(0, Math.min(12, value.length()));
  }
}
