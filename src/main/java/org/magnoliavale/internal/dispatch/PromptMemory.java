package org.magnoliavale.internal.dispatch;

import java.util.List;
import org.magnoliavale.internal.collection.BoundedMap;

/** Remembers which prompt prefixes an endpoint has read lately. Not thread-safe. */
final class PromptMemory {
  /** Prefixes remembered for an endpoint; older ones have most likely left its cache. */
  private static final int MAXIMUM_PREFIXES = 512;

  private final BoundedMap<Long, Boolean> prefixes = BoundedMap.byUse(MAXIMUM_PREFIXES);

  /** Notes that an endpoint reads a prompt. */
  void read(Generation generation) {
    long hash = start(generation);
    for (PromptPart part : generation.parts()) {
      hash = extend(hash, part);
      prefixes.put(hash, Boolean.TRUE);
    }
  }

  /** Returns the tokens that the endpoint would have to read. */
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

  /** Forgets what belongs to weights that the endpoint holds no more. */
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
