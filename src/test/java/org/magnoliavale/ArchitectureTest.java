package org.magnoliavale;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.magnoliavale");

  private static final String INTERNAL = "org.magnoliavale.internal.";

  @Test
  void decisionPackagesPerformNoIo() {
    noClasses()
        .that()
        .resideInAnyPackage(
            INTERNAL + "routing..",
            INTERNAL + "placement..",
            INTERNAL + "ledger..",
            INTERNAL + "lease..",
            INTERNAL + "route..",
            INTERNAL + "directory..",
            INTERNAL + "dispatch..",
            INTERNAL + "limit..",
            INTERNAL + "tenant..",
            INTERNAL + "queue..",
            INTERNAL + "quota..",
            INTERNAL + "origin..",
            INTERNAL + "residency..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.eclipse.jetty..",
            "io.netty..",
            "java.net.http..",
            INTERNAL + "http..",
            INTERNAL + "traffic..",
            INTERNAL + "standin..")
        .check(CLASSES);
  }

  @Test
  void decisionPackagesReadNoSystemClock() {
    noClasses()
        .that()
        .resideInAnyPackage(
            INTERNAL + "routing..",
            INTERNAL + "placement..",
            INTERNAL + "ledger..",
            INTERNAL + "lease..",
            INTERNAL + "route..",
            INTERNAL + "directory..",
            INTERNAL + "dispatch..",
            INTERNAL + "limit..",
            INTERNAL + "tenant..",
            INTERNAL + "queue..",
            INTERNAL + "quota..",
            INTERNAL + "origin..",
            INTERNAL + "call..",
            INTERNAL + "residency..")
        .or()
        .haveNameMatching(".*\\.control\\.(ControlCore|PoolController|PlacementExecutor|Ledger.*)")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  @Test
  void onlyCommandsAndLoadGeneratorUseStandIns() {
    noClasses()
        .that()
        .resideOutsideOfPackages(
            INTERNAL + "command..", INTERNAL + "standin..", INTERNAL + "load..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage(INTERNAL + "standin..")
        .check(CLASSES);
  }

  @Test
  void onlyCommandsDependOnPlatformAdapter() {
    noClasses()
        .that()
        .resideOutsideOfPackages("org.magnoliavale.platform..", INTERNAL + "command..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("org.magnoliavale.platform..")
        .check(CLASSES);
  }

  @Test
  void platformAdapterMakesNoDecisions() {
    noClasses()
        .that()
        .resideInAPackage("org.magnoliavale.platform..")
        .should()
        .dependOnClassesThat()
        .haveNameMatching(
            ".*\\.(EndpointPool|FleetRetryBudget|ResidencyPlanner|ResidencyController|Call|"
                + "CallRegistry|LeaseManager|EndpointDirectory|GatewayInstance)")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  @Test
  void packagesHaveNoCycles() {
    slices().matching(INTERNAL + "(*)..").should().beFreeOfCycles().check(CLASSES);
  }
}
