package org.magnoliavale.internal.tenant;

/** What a request says of its caller's key. */
public sealed interface CallerCredential {
  /** The request has no key. */
  record Absent() implements CallerCredential {}

  /** The request has several keys, or an empty one. */
  record Malformed() implements CallerCredential {}

  /**
   * The request has one key, which may be unknown.
   *
   * @param value the key as it was received; secret, and in no log
   */
  record Key(String value) implements CallerCredential {
    /** Leaves the key out. */
    @Override
    public String toString() {
      return "Key[]";
    }
  }
}
