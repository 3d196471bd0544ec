package org.magnoliavale.internal.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.magnoliavale.Finding;

/**
 * Checks that the minimum replicas of all models of a pool fit into the memory of its endpoints at
 * the same time.
 */
final class MemoryFitRules {
  private MemoryFitRules() {}

  static void check(String file, Document document, List<Finding> findings) {
    for (Pool pool : document.pools().values()) {
      if (pool.enginePool()) {
        checkPool(file, document, pool, findings);
      }
    }
  }

  /**
   * Packs the models greedily: largest model first, each replica into the endpoint with the most
   * free memory.
   */
  private static void checkPool(String file, Document document, Pool pool, List<Finding> findings) {
    List<Long> freeBytes = new ArrayList<>();
    for (Endpoint endpoint : document.endpointsOf(pool.id())) {
      if (!endpoint.draining()) {
        freeBytes.add(endpoint.artifactCapacityBytes());
      }
    }
    List<Model> models = new ArrayList<>(document.modelsOf(pool.id()));
    models.sort(Comparator.comparingLong(Model::bytesWithAdapters).reversed());
    long shortfall = 0;
    for (Model model : models) {
      for (int replica = 0; replica < model.minimumReplicas(); replica++) {
        shortfall += pack(model.bytesWithAdapters(), freeBytes);
      }
    }
    if (shortfall > 0) {
      String message =
          "models do not fit into the memory of its endpoints; " + shortfall + " bytes are missing";
      findings.add(new Finding(file, 0, "pool " + pool.id(), "", message));
    }
  }

  private static long pack(long bytes, List<Long> freeBytes) {
    int best = -1;
    for (int i = 0; i < freeBytes.size(); i++) {
      if (best < 0 || freeBytes.get(i) > freeBytes.get(best)) {
        best = i;
      }
    }
    if (best < 0 || freeBytes.get(best) < bytes) {
      return best < 0 ? bytes : bytes - freeBytes.get(best);
    }
    freeBytes.set(best, freeBytes.get(best) - bytes);
    return 0;
  }
}
