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
  private record Result(int exitCode, String output) {}

  private static Result run(String... arguments) {
    PrintStream console = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      return new Result(Main.run(arguments), output.toString(StandardCharsets.UTF_8));
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
          "load",
          "training-run"
        })
    void printsCommandUsageAndSucceeds(String command) {
      Result result = run(command, "--help");
      assertThat(result.exitCode()).isEqualTo(Command.SUCCESS);
      assertThat(result.output()).contains("Usage: " + command).contains("--help");
    }

    @Test
    void listsCommands() {
      Result result = run("--help");
      assertThat(result.exitCode()).isEqualTo(Command.SUCCESS);
      assertThat(result.output()).contains("gateway").contains("experiment");
    }
  }

  @Nested
  class InvalidCommandLine {
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
    void missingRequiredOptionReturnsUsageCode(String command) {
      assertThat(run(command).exitCode()).isEqualTo(Command.USAGE);
    }

    @Test
    void missingCommandReturnsUsageCode() {
      assertThat(run().exitCode()).isEqualTo(Command.USAGE);
    }
  }
}
