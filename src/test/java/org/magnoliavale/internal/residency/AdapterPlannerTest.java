package org.magnoliavale.internal.residency;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.residency.EndpointCommand.Operation;

class AdapterPlannerTest extends PlannerFixture {
  @Test
  void adapterIsLoadedWhereItsModelIs() {
    endpoint("a", "busy", "idle").add();
    endpoint("b", "rare", "other").add();
    use("busy/a1", 1, 1);
    assertThat(plan()).contains("a " + Operation.LOAD + " busy/a1");
  }

  @Test
  void leastUsedAdapterIsEvictedAndNeverOneWithWaitingRequests() {
    endpoint("a", "busy", "idle", "busy/a1", "busy/a2").add();
    use("busy", 1, 0);
    use("busy/a1", 0.1, 1);
    use("busy/a2", 2, 0);
    use("busy/a3", 1, 1);
    assertThat(plan()).contains("a " + Operation.UNLOAD + " busy/a2");
  }

  @Test
  void adapterThatIsLoadedIsNotLoadedAgain() {
    endpoint("a", "busy", "busy/a1").add();
    endpoint("b", "busy").add();
    use("busy/a1", 1, 1);
    assertThat(plan()).noneMatch(step -> step.contains("busy/a1"));
  }

  @Test
  void adapterOfASaturatedEndpointIsLoadedOnAnUnsaturatedReplica() {
    endpoint("a", "busy", "busy/a1").saturation(0.8).add();
    endpoint("b", "busy").saturation(0.1).add();
    use("busy/a1", 3, 0);
    assertThat(plan()).contains("b " + Operation.LOAD + " busy/a1");
  }

  @Test
  void adapterIsNotLoadedElsewhereWhileAllReplicasAreSaturated() {
    endpoint("a", "busy", "busy/a1").saturation(0.8).add();
    endpoint("b", "busy").saturation(0.7).add();
    use("busy/a1", 3, 0);
    assertThat(plan()).noneMatch(step -> step.contains("busy/a1"));
  }
}
