package org.magnoliavale.internal.platform;

/**
 * One row of the platform's table.
 *
 * @param key key of the row
 * @param version number of the commit that last wrote the row; 0 if there is no such row
 * @param value content of the row; null if there is no such row
 */
public record Row(String key, long version, String value) {
  /** Version of a row that does not exist. */
  public static final long ABSENT = 0;

  /** Returns a row that represents the absence of {@code key}. */
  public static Row absent(String key) {
    return new Row(key, ABSENT, null);
  }
}
