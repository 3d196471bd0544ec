package org.magnoliavale.specification;

import static org.assertj.core.api.Assertions.assertThat;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the Alloy specification of the placement protocol, and that each guard is necessary. */
class SpecificationTest {
  private static final Path SPECIFICATION =
      Path.of("src/test/resources/specification/placement.als");

  @TempDir Path directory;

  private boolean isSatisfiable(String specification, String command) throws IOException {
    Path file = Files.writeString(directory.resolve("placement.als"), specification);
    Module module = CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, file.toString());
    Command selected =
        module.getAllCommands().stream()
            .filter(candidate -> candidate.label.equals(command))
            .findFirst()
            .orElseThrow();
    return TranslateAlloyToKodkod.execute_command(
            A4Reporter.NOP, module.getAllReachableSigs(), selected, new A4Options())
        .satisfiable();
  }

  @Test
  void allowsLoadingAndReleasing() throws IOException {
    assertThat(isSatisfiable(Files.readString(SPECIFICATION), "loadAndRelease")).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"neverOvercommitted", "versionNeverReverts", "oneEffectiveHolder"})
  void assertionHolds(String assertion) throws IOException {
    assertThat(isSatisfiable(Files.readString(SPECIFICATION), assertion)).isFalse();
  }

  /** Each row weakens one guard; the checker must then find a counterexample to the assertion. */
  @Nested
  class Mutation {
    @ParameterizedTest
    @CsvFileSource(resources = "/specification/mutations.csv", delimiter = '|', numLinesToSkip = 1)
    void hasCounterexample(String assertion, String guard, String replacement) throws IOException {
      String specification = Files.readString(SPECIFICATION);
      assertThat(specification).contains(guard);
      assertThat(isSatisfiable(specification.replace(guard, replacement), assertion)).isTrue();
    }
  }
}
