package org.magnoliavale.internal.hash;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes and compares SHA-256 hashes in hexadecimal form. */
public final class Sha256 {
  private Sha256() {}

  /** Returns the hash of the UTF-8 form of a text. */
  public static String of(String text) {
    return hex(newDigest().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the hash of a request: {@code heading}, a line feed, and {@code body}. */
  public static String ofRequest(String heading, byte[] body) {
    MessageDigest digest = newDigest();
    digest.update(heading.getBytes(StandardCharsets.UTF_8));
    digest.update((byte) '\n');
    return hex(digest.digest(body));
  }

  /** Returns whether two hashes are equal. Compares in constant time, against timing attacks. */
  public static boolean constantTimeEquals(String hash, String other) {
    return MessageDigest.isEqual(
        hash.getBytes(StandardCharsets.US_ASCII), other.getBytes(StandardCharsets.US_ASCII));
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform provides SHA-256", e);
    }
  }
}
