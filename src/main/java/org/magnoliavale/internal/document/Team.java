package org.magnoliavale.internal.document;

import java.util.List;
import org.magnoliavale.internal.hash.Sha256;
import org.magnoliavale.internal.identifier.TeamId;

/**
 * A team.
 *
 * @param id its name
 * @param tokenHashes hexadecimal SHA-256 hashes of the tokens it may use
 * @param concurrentRequests requests in progress at once over the whole fleet
 */
public record Team(TeamId id, List<String> tokenHashes, int concurrentRequests) {
  /** Takes a copy of the hashes. */
  public Team {
    tokenHashes = List.copyOf(tokenHashes);
  }

  /** Tells whether a token with this hash is the team's; every hash is compared. */
  public boolean hasToken(String hash) {
    boolean found = false;
    for (String own : tokenHashes) {
      found |= Sha256.matches(hash, own);
    }
    return found;
  }
}
