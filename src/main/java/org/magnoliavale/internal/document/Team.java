package org.magnoliavale.internal.document;

import java.util.List;
import org.magnoliavale.internal.hash.Sha256;
import org.magnoliavale.internal.identifier.TeamId;

/**
 * A team of operators and callers.
 *
 * @param id the team's name
 * @param tokenHashes hexadecimal SHA-256 hashes of the team's tokens
 * @param concurrentRequests maximum concurrent requests across the fleet
 */
public record Team(TeamId id, List<String> tokenHashes, int concurrentRequests) {
  /** Copies the hashes. */
  public Team {
    tokenHashes = List.copyOf(tokenHashes);
  }

  /**
   * Returns whether the team has a token with this hash. Compares every hash, so that the response
   * time does not reveal which one matched.
   */
  public boolean hasToken(String hash) {
    boolean found = false;
    for (String own : tokenHashes) {
      found |= Sha256.constantTimeEquals(hash, own);
    }
    return found;
  }
}
