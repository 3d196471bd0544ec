package org.magnoliavale.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {
  private record Outcome(int exitCode, String output) {}

  private static Outcome run(String... arguments) {
    PrintStream console = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      return new Outcome(Main.run(arguments), output.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(console);
    }
  }

  @Nested
  class Help {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "serve",
          "gateway",
          "check",
          "document",
          "status",
          "placement",
          "explain",
          "stand-in",
          "demo-check",
          "experiment",
          "load"
        })
    void ofACommandNamesTheCommandAndIsNoError(String command) {
      Outcome outcome = run(command, "--help");
      assertThat(outcome.exitCode()).isEqualTo(Command.SUCCESS);
      assertThat(outcome.output()).contains("Usage: " + command).contains("--help");
    }

    @Test
    void ofTheProgramListsItsCommands() {
      Outcome outcome = run("--help");
      assertThat(outcome.exitCode()).isEqualTo(Command.SUCCESS);
      assertThat(outcome.output()).contains("gateway").contains("experiment");
    }
  }

  @Nested
  class WrongCommandLine {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "serve",
          "check",
          "document",
          "status",
          "placement",
          "explain",
          "stand-in",
          "demo-check",
          "experiment",
          "load"
        })
    void withoutARequiredOptionIsToldApartFromFailure(String command) {
      assertThat(run(command).exitCode()).isEqualTo(Command.USAGE);
    }

    @Test
    void withoutACommandIsToldApartFromFailure() {
      assertThat(run().exitCode()).isEqualTo(Command.USAGE);
    }
  }
}
