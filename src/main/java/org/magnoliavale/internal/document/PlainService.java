package org.magnoliavale.internal.document;

import java.util.List;
import java.util.Set;
import org.magnoliavale.internal.identifier.PoolId;

/**
 * A plain service: an HTTP service that serves no models, with its rules for non-idempotent
 * requests.
 *
 * @param name the service's name, as in {@code /services/NAME/}
 * @param pool the pool of servers that run it
 * @param idempotentPosts paths whose POST requests are idempotent
 * @param requiresIdempotencyKey whether a non-idempotent request without an Idempotency-Key is
 *     rejected
 */
public record PlainService(
    String name, PoolId pool, List<String> idempotentPosts, boolean requiresIdempotencyKey) {
  private static final Set<String> IDEMPOTENT_METHODS =
      Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

  /** Copies the paths. */
  public PlainService {
    idempotentPosts = List.copyOf(idempotentPosts);
  }

  /** Returns whether a request is idempotent and may be retried. */
  public boolean isIdempotent(String method, String path) {
    return IDEMPOTENT_METHODS.contains(method)
        || method.equals("POST") && idempotentPosts.contains(path);
  }
}
