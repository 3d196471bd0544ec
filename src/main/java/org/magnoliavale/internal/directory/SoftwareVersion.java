package org.magnoliavale.internal.directory;

/**
 * The version of an endpoint's software, not of its weights. Versions have no order. What two
 * versions write does not fit together, so a stream goes on only at the version that began it.
 *
 * @param text the version as the endpoint states it
 */
public record SoftwareVersion(String text) {
  /** The version of endpoints that state none. */
  public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

  // Written out, since the method of a record is linked at its first call and costs more.
  @Override
  public boolean equals(Object other) {
    return other instanceof SoftwareVersion version && text.equals(version.text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public String toString() {
    return text.isEmpty() ? "-" : text;
  }
}
