package org.magnoliavale.internal.document;

import java.util.List;
import java.util.Set;
import org.magnoliavale.internal.identifier.PoolId;

/**
 * A plain service and its contract about repeated calls.
 *
 * @param name the name in {@code /services/NAME/}
 * @param pool the servers that run it
 * @param idempotentPosts paths whose POST calls may be repeated
 * @param refusesKeylessOrders whether a call that may not be repeated needs an Idempotency-Key
 */
public record PlainService(
    String name, PoolId pool, List<String> idempotentPosts, boolean refusesKeylessOrders) {
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

  /** Takes a copy of the paths. */
  public PlainService {
    idempotentPosts = List.copyOf(idempotentPosts);
  }

  /** Tells whether a call may be repeated without harm. */
  public boolean isIdempotent(String method, String path) {
    return IDEMPOTENT_METHODS.contains(method)
        || method.equals("POST") && idempotentPosts.contains(path);
  }
}
