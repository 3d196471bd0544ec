package org.magnoliavale.internal.identifier;

/** The syntax that all identifiers share. */
public final class IdentifierRules {
  /** Maximum length of an identifier, in characters. */
  public static final int MAXIMUM_LENGTH = 128;

  private IdentifierRules() {}

  /** Returns whether {@code value} is a valid identifier. */
  public static boolean isValid(String value) {
    if (value == null || value.isEmpty() || value.length() > MAXIMUM_LENGTH) {
      return false;
    }
    for (int index = 0; index < value.length(); index++) {
      char character = value.charAt(index);
      if (!isLetterOrDigit(character) && (index == 0 || !isSeparator(character))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isLetterOrDigit(char character) {
    return character >= 'a' && character <= 'z'
        || character >= 'A' && character <= 'Z'
        || character >= '0' && character <= '9';
  }

  private static boolean isSeparator(char character) {
    return character == '.' || character == '_' || character == '-';
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
