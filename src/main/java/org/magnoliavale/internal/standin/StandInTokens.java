package org.magnoliavale.internal.standin;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** The tokens that engine stand-ins generate: a function of the prompt and the position only. */
public final class StandInTokens {
  private StandInTokens() {}

  /** Returns the token at position {@code index} of the completion of {@code prompt}. */
  public static String token(String prompt, int index) {
    CRC32 checksum = new CRC32();
    checksum.update(prompt.getBytes(StandardCharsets.UTF_8));
    checksum.update(index);
    checksum.update(index >>> Byte.SIZE);
    return Long.toHexString(checksum.getValue()) + " ";
  }

  /** Returns the completion of {@code prompt} with {@code count} tokens. */
  public static String completion(String prompt, int count) {
    StringBuilder completion = new StringBuilder();
    for (int index = 0; index < count; index++) {
      completion.append(token(prompt, index));
    }
    return completion.toString();
  }
}
