package org.magnoliavale;

/**
 * A validation error in a configuration text, with its location.
 *
 * @param file name of the text, for example a file path
 * @param line line number from 1, or 0 when the finding concerns the whole text
 * @param section section name, or empty
 * @param key key name, or empty when the finding concerns a whole section
 * @param message description of the error, in one sentence
 */
public record Finding(String file, int line, String section, String key, String message) {
  @Override
  public String toString() {
    String keyPart = key.isEmpty() ? "" : " " + key;
    return file + ":" + line + " [" + section + "]" + keyPart + ": " + message;
  }
}
