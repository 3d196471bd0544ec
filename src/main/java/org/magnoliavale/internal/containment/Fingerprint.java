package org.magnoliavale.internal.containment;

import org.magnoliavale.internal.hash.Sha256;

/**
 * Identifies requests with the same path and body, or a segment of prompts.
 *
 * @param value hexadecimal hash of the request's path and body, or of the segment's id
 */
public record Fingerprint(String value) {
  /** Returns the fingerprint of a request. */
  public static Fingerprint of(String path, byte[] body) {
    return new Fingerprint(Sha256.ofRequest(path, body));
  }

  /**
   * Returns the fingerprint of a prompt segment; no request has it, as paths begin with a slash.
   */
  public static Fingerprint ofSegment(String id) {
    return new Fingerprint(Sha256.of("segment " + id));
  }

  @Override
  public String toString() {
    return value.substring(0, Math.min(12, value.length()));
  }
}
