package org.magnoliavale.internal.residency;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.magnoliavale.internal.route.ModelSpecification;

/** Models for tests of placement. */
final class TestModels {
  private static final double WEIGHTS_MB = 70;
  private static final double ADAPTER_MB = 1;

  private TestModels() {}

  /** Returns a model with a number of adapters. */
  static ModelSpecification model(String name, int adapters) {
    return new ModelSpecification(
        name,
        WEIGHTS_MB,
        Duration.ofSeconds(8),
        Duration.ofMillis(1_600),
        Duration.ofMillis(800),
        adapters,
        ADAPTER_MB);
  }

  /** Returns the models {@code m0}, {@code m1} and so on by name. */
  static Map<String, ModelSpecification> numbered(int count, int adapters) {
    Map<String, ModelSpecification> models = new LinkedHashMap<>();
    for (int i = 0; i < count; i++) {
      models.put("m" + i, model("m" + i, adapters));
    }
    return models;
  }
}
