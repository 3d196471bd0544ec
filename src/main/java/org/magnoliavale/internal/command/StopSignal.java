package org.magnoliavale.internal.command;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.magnoliavale.Service;
import org.magnoliavale.internal.logging.Logs;
import sun.misc.Signal;

/**
 * The signals that ask a process to end: SIGTERM, and SIGINT from a terminal. The first one stops a
 * service gracefully and then ends the process with code 0, or 1 if the stop failed; later ones
 * change nothing.
 *
 * <p>They are handled here because the Java runtime's own orderly end closes the log before the
 * service has stopped.
 */
final class StopSignal {
  private static final List<String> NAMES = List.of("TERM", "INT");

  private final Service service;
  private final AtomicBoolean received = new AtomicBoolean();

  private StopSignal(Service service) {
    this.service = service;
  }

  /** Handles the signals from now on; called once the service has started. */
  static void stopAtFirst(Service service) {
    StopSignal stopSignal = new StopSignal(service);
    NAMES.forEach(name -> Signal.handle(new Signal(name), ignored -> stopSignal.receive()));
  }

  private void receive() {
    if (received.compareAndSet(false, true)) {
      new Thread(this::stopAndHalt, "stop").start();
    }
  }

  private void stopAndHalt() {
    int exitCode = Command.SUCCESS;
    try {
      service.stop();
    } catch (RuntimeException | Error e) {
      Logs.of("instance").error("Stop failed.", e);
      exitCode = Command.FAILURE;
    }
    Logs.close();
    Runtime.getRuntime().halt(exitCode);
  }
}
