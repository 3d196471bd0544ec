package org.magnoliavale.internal.identifier;

import java.util.regex.Pattern;

/** The syntax that all identifiers share. */
public final class IdentifierRules {
  /** Maximum length of an identifier, in characters. */
  public static final int MAXIMUM_LENGTH = 128;

  private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

  private IdentifierRules() {}

  /** Returns whether {@code value} is a valid identifier. */
  public static boolean isValid(String value) {
    return value != null && value.length() <= MAXIMUM_LENGTH && ALLOWED.matcher(value).matches();
  }

  static void check(String type, String value) {
    if (!isValid(value)) {
      throw new IllegalArgumentException(
          type
              + " must be 1 to 128 letters, digits, '.', '_' or '-', starting with a letter"
              + " or digit, but was '"
              + value
              + "'");
    }
  }
}
