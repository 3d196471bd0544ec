package org.magnoliavale.internal.document;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** Hashes of tokens. Tokens themselves are never kept. */
public final class TokenHash {
  private TokenHash() {}

  /** Returns the hexadecimal SHA-256 of a text. */
  public static String of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the hexadecimal SHA-256 of bytes. */
  public static String of(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform has SHA-256", e);
    }
  }

  /** Compares in a time that does not depend on where the hashes differ. */
  public static boolean matches(String hash, String other) {
    return MessageDigest.isEqual(
        hash.getBytes(StandardCharsets.US_ASCII), other.getBytes(StandardCharsets.US_ASCII));
  }

  static boolean matchesAny(String hash, List<String> others) {
    boolean found = false;
    for (String other : others) {
      found |= matches(hash, other);
    }
    return found;
  }
}
