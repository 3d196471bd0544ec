package org.magnoliavale.internal.tenant;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Computes fingerprints of callers' keys with a secret that all instances share. */
final class KeyFingerprints {
  private static final String ALGORITHM = "HmacSHA256";

  /** Separates these hashes from others that are made with the same secret. */
  private static final byte[] PURPOSE = "caller-key\n".getBytes(StandardCharsets.UTF_8);

  private final SecretKeySpec secret;

  KeyFingerprints(String sharedSecret) {
    secret = new SecretKeySpec(sharedSecret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  KeyFingerprint of(String key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(secret);
      mac.update(PURPOSE);
      byte[] hash = mac.doFinal(key.getBytes(StandardCharsets.UTF_8));
      return new KeyFingerprint(HexFormat.of().formatHex(hash, 0, KeyFingerprint.BYTES));
    } catch (GeneralSecurityException e) {
      throw new AssertionError("Java platform lacks the required algorithm " + ALGORITHM, e);
    }
  }
}
