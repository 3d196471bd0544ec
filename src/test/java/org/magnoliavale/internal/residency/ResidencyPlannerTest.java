package org.magnoliavale.internal.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.residency.EndpointCommand.Operation;

class ResidencyPlannerTest extends PlannerFixture {
  @Test
  void modelWithWaitingRequestsIsLoadedIntoFreeMemory() {
    endpoint("a", "busy").add();
    use("busy", 5, 0);
    use("rare", 0.2, 2);
    assertThat(plan()).containsExactly("a " + Operation.LOAD + " rare");
  }

  @Test
  void modelIsEvictedBeforeALoadThatDoesNotFit() {
    endpoint("a", "busy", "other").add();
    use("busy", 5, 0);
    use("other", 1, 0);
    use("rare", 0.2, 20);
    assertThat(plan()).containsExactly("a " + Operation.UNLOAD + " other");
  }

  @Test
  void busyModelIsNotEvictedForARareOne() {
    endpoint("a", "busy").add();
    endpoint("b", "busy", "other").busy().add();
    use("busy", 20, 0);
    use("other", 2, 0);
    use("rare", 0.2, 1);
    assertThat(plan()).noneMatch(step -> step.contains("UNLOAD busy"));
  }

  @Test
  void modelsOfAnUnavailableEndpointAreLoadedElsewhere() {
    endpoint("a", "busy").unavailable().add();
    endpoint("b", "other").add();
    use("busy", 10, 3);
    assertThat(plan()).containsExactly("b " + Operation.LOAD + " busy");
  }

  @Test
  void roomIsMadeForAModelOnOneEndpointOnly() {
    endpoint("a", "other").pendingModel("rare").busy().add();
    endpoint("b", "busy", "idle").add();
    use("rare", 0.3, 3);
    use("busy", 5, 0);
    assertThat(plan()).noneMatch(step -> step.contains("rare"));
  }

  @Test
  void saturatedModelGetsAnotherReplica() {
    endpoint("a", "busy").saturation(1).add();
    endpoint("b", "busy").saturation(1).add();
    endpoint("c", "rare", "other").add();
    use("busy", 12, 0);
    use("rare", 0.2, 0);
    use("other", 0.2, 0);
    assertThat(plan()).anyMatch(step -> step.startsWith("c " + Operation.UNLOAD));
  }

  @Test
  void recentlyLoadedReplicaIsNotEvicted() {
    endpoint("a", "busy", "other").recentlyLoaded("busy").add();
    endpoint("b", "busy", "other").recentlyLoaded("busy").busy().add();
    endpoint("c", "busy").busy().add();
    endpoint("d", "busy").busy().add();
    use("busy", 10, 0);
    use("other", 3, 0);
    use("rare", 0.5, 4);
    assertThat(plan()).noneMatch(step -> step.contains("UNLOAD busy"));
  }

  @Test
  void modelThatDemandHasShiftedToGetsASecondReplicaBeforeItIsSaturated() {
    endpoint("a", "busy", "rare").add();
    endpoint("b", "idle", "other").add();
    delayTolerant.put("idle", true);
    delayTolerant.put("other", true);
    use("busy", 9, 0);
    use("other", 0.2, 0);
    assertThat(plan()).containsExactly("b " + Operation.UNLOAD + " idle");
  }

  @Test
  void replicaThatIsNotNeededYetDoesNotReplaceAModelInUse() {
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
    delayTolerant.put("rare", true);
    use("rare", 0.3, 1);
    use("busy", 0.3, 0);
    endpoint("a", "busy", "other").onDisk("idle").add();
    endpoint("b", "busy", "idle").onDisk("other").add();
    assertThat(plan()).isEmpty();
  }

  @Test
  void modelThatUrgentDemandMayShiftToGetsALocalCopy() {
    delayTolerant.put("rare", true);
    delayTolerant.put("idle", true);
    endpoint("a", "busy", "other").busy().add();
    endpoint("b", "busy", "rare").add();
    use("busy", 5, 0);
    use("rare", 0.1, 0);
    assertThat(plan()).containsExactly("b " + Operation.UNLOAD + " rare");
  }

  @Test
  void localCopiesReplaceFurtherReplicasBeforeTheFirstRequest() {
    phase = DemandPhase.NO_REQUESTS;
    endpoint("a", "busy", "other").onDisk("idle").add();
    endpoint("b", "busy", "idle").onDisk("other").add();
    assertThat(plan()).containsExactly("a " + Operation.UNLOAD + " busy");
  }

  @Test
  void endpointIsChangedAtMostOnceBeforeTheFirstRequest() {
    phase = DemandPhase.NO_REQUESTS;
    endpoint("a", "busy", "other").sequence(2).add();
    endpoint("b", "busy", "idle").sequence(1).add();
    assertThat(plan()).isEmpty();
  }

  @Test
  void onlyReadyReplicaIsNotEvictedWhileOthersAreLoading() {
    delayTolerant.put("rare", true);
    endpoint("a", "busy", "idle").add();
    endpoint("b", "other").loading("busy").add();
    endpoint("c", "other").loading("busy").add();
    use("busy", 10, 0);
    use("idle", 3, 0);
    use("rare", 0.3, 12);
    assertThat(plan()).noneMatch(step -> step.contains("UNLOAD busy"));
  }

  @Test
  void modelWithALocalCopyOnAnotherEndpointGetsNoFurtherOne() {
    delayTolerant.put("rare", true);
    delayTolerant.put("idle", true);
    endpoint("a", "busy", "other").busy().add();
    endpoint("b", "busy", "rare").onDisk("other").add();
    use("busy", 5, 0);
    use("rare", 0.1, 0);
    assertThat(plan()).isEmpty();
  }

  @Test
  void onlySomeEndpointsLoadFromTheStoreForDelayTolerantRequests() {
    for (String model : List.of("rare", "other", "idle")) {
      delayTolerant.put(model, true);
      use(model, 0.3, 3);
    }
    for (String id : List.of("a", "b", "c")) {
      endpoint(id, "busy").add();
    }
    use("busy", 6, 0);
    assertThat(plan()).hasSize(1);
  }

  @Test
  void furtherReplicasAndDelayTolerantModelsShareTheEndpointsForLoadsThatCanWait() {
    delayTolerant.put("rare", true);
    use("rare", 0.3, 3);
    use("busy", 12, 0);
    endpoint("a", "busy").saturation(1).add();
    endpoint("b").add();
    endpoint("c").add();
    assertThat(plan()).hasSize(1);
  }

  @Test
  void oneCallWaitsForTheEndpointWithACopyOfItsModel() {
    delayTolerant.put("rare", true);
    use("rare", 0.1, 1);
    use("busy", 3, 0);
    endpoint("a", "busy").onDisk("rare", "busy").busy().add();
    endpoint("b", "busy").onDisk("busy").add();
    assertThat(plan()).noneMatch(step -> step.contains("LOAD rare"));
  }

  @Test
  void severalCallsAreWorthALoadBesideACopyOfTheirModel() {
    delayTolerant.put("rare", true);
    use("rare", 0.3, 3);
    use("busy", 3, 0);
    endpoint("a", "busy").onDisk("rare", "busy").busy().add();
    endpoint("b", "busy").onDisk("busy").add();
    assertThat(plan()).containsExactly("b " + Operation.LOAD + " rare");
  }

  @Test
  void delayTolerantModelIsEvictedBeforeOneThatUrgentDemandMayShiftTo() {
    delayTolerant.put("rare", true);
    endpoint("a", "rare", "idle").add();
    use("rare", 0.1, 0);
    use("busy", 8, 4);
    assertThat(plan()).containsExactly("a " + Operation.UNLOAD + " rare");
  }

  @Test
  void modelWithPastUrgentDemandStaysWithoutCurrentDemand() {
    delayTolerant.put("rare", true);
    delayTolerant.put("other", false);
    endpoint("a", "rare", "other").add();
    endpoint("b", "busy", "rare").busy().saturation(1).add();
    use("busy", 6, 0);
    use("rare", 0.5, 0);
    assertThat(plan()).noneMatch(step -> step.contains("UNLOAD other"));
  }

  @Test
  void rateLimitOfTheWeightStoreDefersLoads() {
    endpoint("a").add();
    use("rare", 1, 3);
    assertThat(plan(false)).isEmpty();
  }

  @Test
  void busyEndpointGetsNoCommand() {
    endpoint("a").busy().add();
    use("rare", 1, 3);
    assertThat(plan()).isEmpty();
  }
}
