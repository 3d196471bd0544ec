package org.magnoliavale.internal.platform;

/**
 * One row of the platform's table.
 *
 * @param key the row's key
 * @param version the table's number of the commit that wrote it; 0 when there is no such row
 * @param value the row's text; null when there is no such row
 */
public record Row(String key, long version, String value) {
  /** Version of a row that does not exist. */
  public static final long ABSENT = 0;

  /** Returns the row that stands for the absence of {@code key}. */
  public static Row absent(String key) {
    return new Row(key, ABSENT, null);
  }
}
