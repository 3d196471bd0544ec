package org.magnoliavale.internal.dispatch;

import java.util.List;
import org.magnoliavale.internal.collection.BoundedMap;

/** Estimates which prompt prefixes are in an endpoint's cache. Not thread-safe. */
final class PromptMemory {
  /** Prefixes tracked per endpoint; older ones have most likely been evicted from its cache. */
  private static final int MAXIMUM_PREFIXES = 512;

  private final BoundedMap<Long, Boolean> prefixes = BoundedMap.byUse(MAXIMUM_PREFIXES);

  /** Records the prefixes of a prompt that is sent to the endpoint. */
  void read(Generation generation) {
    long hash = start(generation);
    for (PromptPart part : generation.parts()) {
      hash = extend(hash, part);
      prefixes.put(hash, Boolean.TRUE);
    }
  }

  /** Returns the number of prompt tokens that are not expected to be in the cache. */
  int missingTokens(Generation generation) {
    long hash = start(generation);
    int known = 0;
    for (PromptPart part : generation.parts()) {
      hash = extend(hash, part);
      if (!prefixes.containsKey(hash)) {
        break;
      }
      known += part.tokens();
    }
    return Math.max(0, generation.promptTokens() - known);
  }

  /** Removes all prefixes, for when the endpoint has unloaded the weights they belong to. */
  void clear() {
    prefixes.clear();
  }

  private static long start(Generation generation) {
    return generation.artifact().hashCode();
  }

  private static long extend(long hash, PromptPart part) {
    return List.of(hash, part.id()).hashCode() * 0x9E3779B97F4A7C15L + hash;
  }
}
