package org.magnoliavale.internal.tenant;

import java.util.List;

/**
 * What an instance says of its configuration.
 *
 * @param version the version that it applies; 0 for none
 * @param ageNanos time since it last read the configuration
 * @param revocations keys that it has seen being taken away, for instances with an older version
 */
public record ConfigurationStatement(long version, long ageNanos, List<Revocation> revocations) {
  /** Most revocations that a statement contains. */
  public static final int MAXIMUM_REVOCATIONS = 256;

  /** Copies the revocations. */
  public ConfigurationStatement {
    revocations = List.copyOf(revocations);
  }
}
