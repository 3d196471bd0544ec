package org.magnoliavale.internal.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;

class PlacementExperimentTest {
  private static final long SEED = 1;

  /** Upper bound on a load that waits for a full burst of earlier loads at the weight store. */
  private static final int MAXIMUM_LOAD_SECONDS = 10;

  private static Map<String, PlacementResult> run(String deployment) throws IOException {
    String file = "demo/" + deployment + ".ini";
    Document document = DocumentReader.read(file, Files.readString(Path.of(file)), 1);
    List<PlacementResult> results = PlacementExperiment.of(document, SEED).runAll();
    return results.stream().collect(Collectors.toMap(PlacementResult::policy, Function.identity()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"tsunkh-lunch", "nile-cloister"})
  void noModelIsUnavailableLongerThanItsLoadTakes(String deployment) throws IOException {
    assertThat(run(deployment).get("planner").longestUnavailableSeconds())
        .isLessThanOrEqualTo(MAXIMUM_LOAD_SECONDS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"tsunkh-lunch", "nile-cloister"})
  void answersMoreInTimeThanStaticAndLeastRecentlyUsedPlacement(String deployment)
      throws IOException {
    Map<String, PlacementResult> results = run(deployment);
    assertThat(results.get("planner").attainment())
        .isGreaterThan(results.get("static").attainment())
        .isGreaterThan(results.get("least-recently-used").attainment());
  }

  @Tag("known-red")
  @ParameterizedTest
  @ValueSource(strings = {"tsunkh-lunch", "nile-cloister"})
  void answersMoreInTimeThanProportionalPlacementWithHalfItsMoves(String deployment)
      throws IOException {
    Map<String, PlacementResult> results = run(deployment);
    PlacementResult planner = results.get("planner");
    PlacementResult proportional = results.get("demand-proportional");
    assertThat(planner.attainment()).isGreaterThan(proportional.attainment());
    assertThat(planner.moves()).isLessThanOrEqualTo(proportional.moves() / 2);
  }
}
