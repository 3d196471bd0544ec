package org.magnoliavale.internal.command;

import org.magnoliavale.Service;
import org.magnoliavale.internal.logging.Logs;

/** Stops a service gracefully when the process is told to end, and then ends it with code 0. */
final class StopHook {
  private StopHook() {}

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
    // A process that was ended by a signal would report the signal; this stop was planned.
    Runtime.getRuntime().halt(exitCode);
  }
}
