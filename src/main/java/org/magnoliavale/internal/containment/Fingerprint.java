package org.magnoliavale.internal.containment;

import org.magnoliavale.internal.hash.Sha256;

/**
 * Identifies requests with the same path and body.
 *
 * @param value hexadecimal hash of the request's path and body
 */
public record Fingerprint(String value) {
  /** Returns the fingerprint of a request. */
  public static Fingerprint of(String path, byte[] body) {
    return new Fingerprint(Sha256.ofRequest(path, body));
  }

  @Override
  public String toString() {
    return value.substring(0, Math.min(12, value.length()));
  }
}
