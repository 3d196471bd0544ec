package org.magnoliavale.internal.dispatch;

import java.util.List;
import org.magnoliavale.internal.collection.BoundedMap;

/** Estimates which prompt prefixes are in an endpoint's cache. Not thread-safe. */
final class PrefixCacheEstimate {
  /** Prefixes tracked per endpoint; older ones have most likely been evicted from its cache. */
  private static final int MAXIMUM_PREFIXES = 512;

  private final BoundedMap<Long, Boolean> prefixes =
      BoundedMap.evictingLeastRecentlyUsed(MAXIMUM_PREFIXES);

  /** Records the prefixes of a prompt that is sent to the endpoint. */
  void recordPrompt(GenerationRequest generation) {
    long hash = initialHash(generation);
    for (PromptSegment segment : generation.segments()) {
      hash = extendHash(hash, segment);
      prefixes.put(hash, Boolean.TRUE);
    }
  }

  /** Returns the number of prompt tokens that are not expected to be in the cache. */
  int uncachedTokens(GenerationRequest generation) {
    long hash = initialHash(generation);
    int cachedTokens = 0;
    for (PromptSegment segment : generation.segments()) {
      hash = extendHash(hash, segment);
      if (!prefixes.containsKey(hash)) {
        break;
      }
      cachedTokens += segment.tokens();
    }
    return Math.max(0, generation.promptTokens() - cachedTokens);
  }

  /** Removes all prefixes, for when the endpoint has unloaded the weights they belong to. */
  void clear() {
    prefixes.clear();
  }

  /** Returns the hash of no segment of a prompt. */
  static long initialHash(GenerationRequest generation) {
    return generation.artifact().hashCode();
  }

  /** Returns the hash of the segments before and a further one. */
  static long extendHash(long hash, PromptSegment segment) {
    return List.of(hash, segment.id()).hashCode() * 0x9E3779B97F4A7C15L + hash;
  }
}
