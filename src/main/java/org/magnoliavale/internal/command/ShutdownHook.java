package org.magnoliavale.internal.command;

import org.magnoliavale.Service;
import org.magnoliavale.internal.logging.Logs;

/** Shutdown hook that stops a service gracefully and exits with code 0, or 1 if the stop failed. */
final class ShutdownHook {
  private ShutdownHook() {}

  static void install(Service service) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndHalt(service), "stop"));
  }

  private static void stopAndHalt(Service service) {
    int exitCode = Command.SUCCESS;
    try {
      service.stop();
    } catch (RuntimeException e) {
      Logs.of("instance").error("Stop failed.", e);
      exitCode = Command.FAILURE;
    }
    Logs.close();
    // Without halt the exit code would report the signal, although this is a planned stop.
    Runtime.getRuntime().halt(exitCode);
  }
}
