package org.magnoliavale.internal.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the program as a process of its own. Guards against a SIGHUP that ends the process and cuts
 * off its streams: the runtime takes that signal for a request to stop unless it is handled.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ReloadSignalTest {
  private static final long TIMEOUT_S = 30;

  @TempDir private Path folder;
  private Process process;
  private BufferedReader log;

  @AfterEach
  void end() throws Exception {
    process.destroyForcibly().waitFor();
    log.close();
  }

  private void start(String command, String settings) throws IOException {
    Path file = folder.resolve("settings.ini");
    Files.writeString(file, settings);
    // The signal may be ignored where the tests run (nohup), and a child would inherit that.
    List<String> line = new ArrayList<>(List.of("env", "--default-signal=HUP"));
    line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    line.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
    line.addAll(List.of(command, "--settings", file.toString()));
    process = new ProcessBuilder(line).redirectErrorStream(true).start();
    log = process.inputReader();
  }

  private void write(String settings) throws IOException {
    Files.writeString(folder.resolve("settings.ini"), settings);
  }

  private void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Returns the first line of the log that contains {@code text}, or the last line of all. */
  private String awaitLine(String text) throws IOException {
    String last = "";
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      last = line;
      if (line.contains(text)) {
        break;
      }
    }
    return last;
  }

  private int stop() throws Exception {
    signal("TERM");
    awaitLine("no such line, so that the log is read to its end");
    assertThat(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    return process.exitValue();
  }

  private void awaitStart() throws IOException {
    assertThat(awaitLine("Started.")).contains("Started.");
  }

  @Nested
  class Gateway {
    private String settings(String level, int graceSeconds, int leaseMs) {
      return """
          [instance]
          id = front-1
          data-centre = east
          [callers]
          address = 127.0.0.1:0
          readiness-address = 127.0.0.1:0
          grace-period-s = %d
          [peers]
          host = 127.0.0.1
          port = 0
          metrics-port = 0
          shared-key = key
          [store]
          address = 127.0.0.1:1
          [orders]
          lease-ms = %d
          [log]
          level = %s
          """
          .formatted(graceSeconds, leaseMs, level);
    }

    @Test
    void goesOnAfterTheSignalAndAppliesWhatHasChanged() throws Exception {
      start("gateway", settings("info", 8, 3_000));
      awaitStart();
      write(settings("info", 6, 4_000));
      signal("HUP");
      assertThat(awaitLine("Settings reloaded."))
          .contains("Settings reloaded.")
          .contains("applied=[callers.grace-period-s]")
          .contains("needing-restart=[orders.lease-ms]");
      assertThat(stop()).isZero();
    }

    /** Guards against a log that ends with the stop signal, so that a stop cannot be explained. */
    @Test
    void logsItsStop() throws Exception {
      start("gateway", settings("info", 8, 3_000));
      awaitStart();
      signal("TERM");
      assertThat(awaitLine("Stopped.")).contains("Stopped.");
    }

    /** Guards against a signal that comes as soon as the start is logged and ends the process. */
    @Test
    void stopsInOrderIfTheSignalComesDuringTheStart() throws Exception {
      start("gateway", settings("info", 8, 3_000));
      awaitLine("Configuration");
      signal("TERM");
      assertThat(awaitLine("Stopped.")).contains("Stopped.");
      assertThat(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isZero();
    }

    @Test
    void keepsItsSettingsIfTheNewOnesAreInvalid() throws Exception {
      start("gateway", settings("info", 8, 3_000));
      awaitStart();
      write("[instance]\nid = front-1\nno such key = 1\n");
      signal("HUP");
      assertThat(awaitLine("Settings not reloaded.")).contains("code=").contains("settings.ini:3");
      write(settings("info", 8, 3_000));
      signal("HUP");
      assertThat(awaitLine("Settings reloaded.")).contains("Settings reloaded.");
      assertThat(process.isAlive()).isTrue();
    }

    @Test
    void keepsItsSettingsIfTheFileIsMissing() throws Exception {
      start("gateway", settings("info", 8, 3_000));
      awaitStart();
      Files.delete(folder.resolve("settings.ini"));
      signal("HUP");
      assertThat(awaitLine("Settings not reloaded.")).contains("cannot read file");
      assertThat(process.isAlive()).isTrue();
    }
  }

  @Nested
  class Serve {
    private String settings(String level) {
      return """
          [instance]
          id = ub-east-1
          data-centre = ub-east
          [caller]
          address = 127.0.0.1:0
          drain-wait-ms = 0
          drain-timeout-ms = 100
          [operator]
          address = 127.0.0.1:0
          [peer]
          address = 127.0.0.1:0
          shared-key = 0123456789abcdef
          [platform]
          address = 127.0.0.1:1
          [log]
          level = %s
          """
          .formatted(level);
    }

    @Test
    void goesOnAfterTheSignal() throws Exception {
      start("serve", settings("info"));
      awaitLine("tarted");
      write(settings("debug"));
      signal("HUP");
      assertThat(awaitLine("Settings reloaded.")).contains("needing-restart=[]");
      assertThat(process.isAlive()).isTrue();
    }
  }
}
