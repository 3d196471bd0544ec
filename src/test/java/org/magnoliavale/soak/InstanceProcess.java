package org.magnoliavale.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliavale.internal.command.Main;

/**
 * An instance as a process of its own. {@code -Dsoak.classpath} names another landing's class path;
 * its instances are given fixed ports, since older ones do not take or state chosen ports.
 */
final class InstanceProcess implements AutoCloseable {
  static final int GRACE_PERIOD_S = 8;
  private static final String OTHER_CLASS_PATH = System.getProperty("soak.classpath", "");
  private static final Pattern CALLERS =
      Pattern.compile("Started\\..* callers=127\\.0\\.0\\.1:(\\d+)");
  private static final long START_TIMEOUT_MS = 20_000;
  private static final long CHECK_INTERVAL_MS = 20;

  private final int callerPort;
  private final Path log;
  private final Process process;

  InstanceProcess(Path folder, int index, int storePort) throws IOException {
    Path settings = folder.resolve("front-" + index + ".ini");
    log = folder.resolve("front-" + index + ".log");
    int fixedPort = fixedPort();
    Files.writeString(settings, settings(index, storePort, fixedPort));
    List<String> line = new ArrayList<>(List.of("env", "--default-signal=HUP"));
    line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    line.addAll(List.of("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    line.addAll(List.of("-cp", classPath(), Main.class.getName()));
    line.addAll(List.of("gateway", "--settings", settings.toString()));
    process =
        new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile()).start();
    // The process does not outlive the test, however that ends.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    callerPort = fixedPort == 0 ? awaitCallerPort() : fixedPort;
  }

  private static String classPath() {
    return OTHER_CLASS_PATH.isEmpty() ? System.getProperty("java.class.path") : OTHER_CLASS_PATH;
  }

  private static int fixedPort() throws IOException {
    if (OTHER_CLASS_PATH.isEmpty()) {
      return 0;
    }
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private static String settings(int index, int storePort, int callerPort) throws IOException {
    return """
        [instance]
        id = front-%d
        data-centre = local
        [callers]
        address = 127.0.0.1:%d
        readiness-address = 127.0.0.1:%d
        grace-period-s = %d
        [peers]
        host = 127.0.0.1
        port = %d
        metrics-port = %d
        shared-key = key of the soak
        [store]
        address = 127.0.0.1:%d
        [log]
        level = %s
        """
        .formatted(
            index,
            callerPort,
            fixedPort(),
            GRACE_PERIOD_S,
            fixedPort(),
            fixedPort(),
            storePort,
            System.getProperty("soak.level", "info"));
  }

  private int awaitCallerPort() throws IOException {
    long waited = 0;
    while (waited < START_TIMEOUT_MS && process.isAlive()) {
      Matcher matcher = CALLERS.matcher(Files.readString(log));
      if (matcher.find()) {
        return Integer.parseInt(matcher.group(1));
      }
      PlayClock.sleep(CHECK_INTERVAL_MS);
      waited += CHECK_INTERVAL_MS;
    }
    throw new IOException("an instance did not start: " + Files.readString(log));
  }

  /** Returns the file with the output of the process. */
  Path log() {
    return log;
  }

  int callerPort() {
    return callerPort;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Sends a signal to this process alone; does nothing if it has ended. */
  void signal(String name) {
    try {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
          .redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.DISCARD)
          .start()
          .waitFor();
    } catch (IOException e) {
      throw new IllegalStateException("no signal could be sent", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends SIGTERM without a helper process, so that the time of the signal is known. */
  void stop() {
    process.destroy();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
