package org.magnoliavale.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.identifier.EndpointId;

/**
 * Compares the events and actions of whole simulated sessions with golden files. To rewrite the
 * files after an intended change, run with {@code -Dgolden.write=true} and review the difference.
 */
class GoldenSessionTest {
  private static final Path DIRECTORY = Path.of("src/test/resources/golden");
  private static final EndpointId ENGINE = new EndpointId("engine-1");

  private final SessionLog session = new SessionLog();

  private SimulatedFleet fleet(String contract) {
    return new SimulatedFleet(7, document(1, contract, 1), FaultRates.NONE, session);
  }

  private static Document document(long version, String contract, int modelVersion) {
    String text =
        TestDocuments.base()
            + TestDocuments.endpoint("engine-1", 1, 20, contract)
            + TestDocuments.model("menu", 8)
            + "version = "
            + modelVersion
            + "\n";
    return DocumentReader.read("d.ini", text, version);
  }

  @Test
  void takeoverDuringALoad() throws IOException {
    SimulatedFleet fleet = fleet("unchecking");
    SimulatedFleet.Instance first = fleet.addInstance("first");
    fleet.run(700);
    session.note("first is killed after sending the load command; second finds the reservation");
    first.kill();
    fleet.addInstance("second");
    fleet.run(7_000);
    assertThat(ControlUnderFaultsTest.readyModels(fleet)).containsExactly("menu@1");
    assertMatches("takeover-during-a-load.txt");
  }

  @Test
  void versionChangeWithALostAnswer() throws IOException {
    SimulatedFleet fleet = fleet("checking");
    fleet.addInstance("only");
    fleet.run(2_000);
    session.note("version 2 is installed; the next commit takes effect, but its response is lost");
    fleet.loseNextCommitResponse();
    fleet.install(document(2, "checking", 2));
    fleet.run(5_000);
    assertThat(ControlUnderFaultsTest.readyModels(fleet)).containsExactly("menu@2");
    assertMatches("version-change-with-a-lost-answer.txt");
  }

  @Test
  void storeOutageWithARestart() throws IOException {
    SimulatedFleet fleet = fleet("checking");
    SimulatedFleet.Instance first = fleet.addInstance("first");
    fleet.run(2_000);
    session.note("the table becomes unavailable; the instance and the engine restart");
    fleet.setTableDown(true);
    fleet.run(1_000);
    first.kill();
    fleet.restart(ENGINE);
    fleet.addInstance("second");
    fleet.run(5_000);
    session.note("the table is available again");
    fleet.setTableDown(false);
    fleet.run(6_000);
    assertThat(ControlUnderFaultsTest.readyModels(fleet)).containsExactly("menu@1");
    assertMatches("store-outage-with-a-restart.txt");
  }

  private void assertMatches(String file) throws IOException {
    Path path = DIRECTORY.resolve(file);
    if (Boolean.getBoolean("golden.write")) {
      Files.createDirectories(DIRECTORY);
      Files.writeString(path, session.text());
    }
    assertThat(session.text()).isEqualTo(Files.readString(path));
  }
}
