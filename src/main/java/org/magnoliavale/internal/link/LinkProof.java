package org.magnoliavale.internal.link;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Creates and verifies HMAC-SHA-256 proofs that an instance holds the shared key. */
public final class LinkProof {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 32;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final SecretKeySpec key;

  /** Creates proofs with a key. */
  public LinkProof(String sharedKey) {
    key = new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  static ByteString newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return ByteString.copyFrom(nonce);
  }

  /**
   * Returns the proof for a nonce, bound to what it is for and to the name or incarnation of the
   * instance that proves.
   */
  public ByteString prove(String role, String incarnation, ByteString nonce) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update((role + "\n" + incarnation + "\n").getBytes(StandardCharsets.UTF_8));
      return ByteString.copyFrom(mac.doFinal(nonce.toByteArray()));
    } catch (GeneralSecurityException e) {
      throw new AssertionError("Java platform lacks the required algorithm " + ALGORITHM, e);
    }
  }

  /** Returns whether a proof is the one that {@link #prove} returns. */
  public boolean isValid(String role, String incarnation, ByteString nonce, ByteString proof) {
    return MessageDigest.isEqual(
        prove(role, incarnation, nonce).toByteArray(), proof.toByteArray());
  }
}
