package org.magnoliavale.internal.residency;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class WaitingModelsTest extends PlannerFixture {
  @Test
  void modelsAreToldApartByWhatTheirLoadsWaitFor() {
    endpoint("a", "busy").onDisk("rare").busy().add();
    endpoint("b", "busy").pendingModel("other").add();
    use("rare", 0.1, 2);
    use("other", 0.1, 1);
    use("idle", 0.1, 1);
    assertThat(waitingModels()).isEqualTo(new WaitingModels(3, 4, 1, 1, 1, 1, 2));
  }

  @Test
  void modelWhoseAdapterIsMissingIsNotWaitedFor() {
    endpoint("a", "busy").add();
    use("busy/spanish", 1, 3);
    assertThat(waitingModels().models()).isZero();
  }
}
