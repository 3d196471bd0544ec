package org.magnoliavale.internal.tenant;

/**
 * Identifies a caller's key to instances that know the key, without disclosing it.
 *
 * @param value hexadecimal keyed hash
 */
public record KeyFingerprint(String value) {
  /** Length of a fingerprint, in bytes. */
  public static final int BYTES = 16;
}
