package org.magnoliavale.internal.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.residency.EndpointOrder.Operation;

class ResidencyPlannerTest extends PlannerFixture {
  @Test
  void modelThatIsWaitedForTakesFreeRoom() {
    endpoint("a", "busy").add();
    use("busy", 5, 0);
    use("rare", 0.2, 2);
    assertThat(plan()).containsExactly("a " + Operation.LOAD + " rare");
  }

  @Test
  void nothingIsOrderedBeyondMemory() {
    endpoint("a", "busy", "other").add();
    use("busy", 5, 0);
    use("other", 1, 0);
    use("rare", 0.2, 20);
    assertThat(plan()).containsExactly("a " + Operation.UNLOAD + " other");
  }

  @Test
  void busyModelIsNotGivenUpForARareOne() {
    endpoint("a", "busy").add();
    endpoint("b", "busy", "other").busy().add();
    use("busy", 20, 0);
    use("other", 2, 0);
    use("rare", 0.2, 1);
    assertThat(plan()).noneMatch(step -> step.contains("UNLOAD busy"));
  }

  @Test
  void modelsOfALostEndpointAreLoadedElsewhere() {
    endpoint("a", "busy").lost().add();
    endpoint("b", "other").add();
    use("busy", 10, 3);
    assertThat(plan()).containsExactly("b " + Operation.LOAD + " busy");
  }

  @Test
  void roomIsMadeForAModelOnOneEndpointOnly() {
    endpoint("a", "other").goal("rare").busy().add();
    endpoint("b", "busy", "idle").add();
    use("rare", 0.3, 3);
    use("busy", 5, 0);
    assertThat(plan()).noneMatch(step -> step.contains("rare"));
  }

  @Test
  void crowdedModelGetsAnotherReplica() {
    endpoint("a", "busy").crowding(1).add();
    endpoint("b", "busy").crowding(1).add();
    endpoint("c", "rare", "other").add();
    use("busy", 12, 0);
    use("rare", 0.2, 0);
    use("other", 0.2, 0);
    assertThat(plan()).anyMatch(step -> step.startsWith("c " + Operation.UNLOAD));
  }

  @Test
  void replicaThatHasJustBeenLoadedIsNotGivenUp() {
    endpoint("a", "busy", "other").settling("busy").add();
    endpoint("b", "busy", "other").settling("busy").busy().add();
    endpoint("c", "busy").busy().add();
    endpoint("d", "busy").busy().add();
    use("busy", 10, 0);
    use("other", 3, 0);
    use("rare", 0.5, 4);
    assertThat(plan()).noneMatch(step -> step.contains("UNLOAD busy"));
  }

  @Test
  void modelThatDemandHasJustMovedToGetsASecondReplicaBeforeCallsSuffer() {
    endpoint("a", "busy", "rare").add();
    endpoint("b", "idle", "other").add();
    patient.put("idle", true);
    patient.put("other", true);
    use("busy", 9, 0);
    use("other", 0.2, 0);
    assertThat(plan()).containsExactly("b " + Operation.UNLOAD + " idle");
  }

  @Test
  void replicaThatIsNotNeededYetDoesNotDisplaceAModelInUse() {
    endpoint("a", "busy", "rare").add();
    endpoint("b", "busy", "other").add();
    use("busy", 6, 0);
    use("rare", 2, 0);
    use("other", 2, 0);
    assertThat(plan()).isEmpty();
  }

  @Test
  void replicasThatTheOperatorPlacedStayUntilDemandIsKnown() {
    phase = DemandPhase.LEARNING;
    patient.put("rare", true);
    use("rare", 0.3, 1);
    use("busy", 0.3, 0);
    endpoint("a", "busy", "other").onDisk("idle").add();
    endpoint("b", "busy", "idle").onDisk("other").add();
    assertThat(plan()).isEmpty();
  }

  @Test
  void copyIsMadeOfAModelThatUrgentDemandMayMoveTo() {
    patient.put("rare", true);
    patient.put("idle", true);
    endpoint("a", "busy", "other").busy().add();
    endpoint("b", "busy", "rare").add();
    use("busy", 5, 0);
    use("rare", 0.1, 0);
    assertThat(plan()).containsExactly("b " + Operation.UNLOAD + " rare");
  }

  @Test
  void copiesTakeThePlaceOfFurtherReplicasBeforeTheFirstCall() {
    phase = DemandPhase.BEFORE;
    endpoint("a", "busy", "other").onDisk("idle").add();
    endpoint("b", "busy", "idle").onDisk("other").add();
    assertThat(plan()).containsExactly("a " + Operation.UNLOAD + " busy");
  }

  @Test
  void endpointIsChangedOnceOnlyBeforeTheFirstCall() {
    phase = DemandPhase.BEFORE;
    endpoint("a", "busy", "other").sequence(2).add();
    endpoint("b", "busy", "idle").sequence(1).add();
    assertThat(plan()).isEmpty();
  }

  @Test
  void onlyReplicaThatServesIsNotGivenUpWhileOthersAreOnTheirWay() {
    patient.put("rare", true);
    endpoint("a", "busy", "idle").add();
    endpoint("b", "other").coming("busy").add();
    endpoint("c", "other").coming("busy").add();
    use("busy", 10, 0);
    use("idle", 3, 0);
    use("rare", 0.3, 12);
    assertThat(plan()).noneMatch(step -> step.contains("UNLOAD busy"));
  }

  @Test
  void modelWithACopyAtHandOnAnotherEndpointNeedsNoFurtherOne() {
    patient.put("rare", true);
    patient.put("idle", true);
    endpoint("a", "busy", "other").busy().add();
    endpoint("b", "busy", "rare").onDisk("other").add();
    use("busy", 5, 0);
    use("rare", 0.1, 0);
    assertThat(plan()).isEmpty();
  }

  @Test
  void onlySomeEndpointsAreOccupiedByLongLoadsForPatientCalls() {
    for (String model : List.of("rare", "other", "idle")) {
      patient.put(model, true);
      use(model, 0.3, 3);
    }
    for (String id : List.of("a", "b", "c")) {
      endpoint(id, "busy").add();
    }
    use("busy", 6, 0);
    assertThat(plan()).hasSize(1);
  }

  @Test
  void modelOfPatientCallsMakesWayBeforeOneThatMayBeAskedForUrgently() {
    patient.put("rare", true);
    endpoint("a", "rare", "idle").add();
    use("rare", 0.1, 0);
    use("busy", 8, 4);
    assertThat(plan()).containsExactly("a " + Operation.UNLOAD + " rare");
  }

  @Test
  void modelThatUrgentCallsAskedForStaysThoughNobodyAsksForItNow() {
    patient.put("rare", true);
    patient.put("other", false);
    endpoint("a", "rare", "other").add();
    endpoint("b", "busy", "rare").busy().crowding(1).add();
    use("busy", 6, 0);
    use("rare", 0.5, 0);
    assertThat(plan()).noneMatch(step -> step.contains("UNLOAD other"));
  }

  @Test
  void ceilingOfTheWeightStoreHoldsLoadsBack() {
    endpoint("a").add();
    use("rare", 1, 3);
    assertThat(plan(false)).isEmpty();
  }

  @Test
  void busyEndpointGetsNoOrder() {
    endpoint("a").busy().add();
    use("rare", 1, 3);
    assertThat(plan()).isEmpty();
  }
}
