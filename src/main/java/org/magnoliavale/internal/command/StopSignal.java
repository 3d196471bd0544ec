package org.magnoliavale.internal.command;

import java.util.List;
import java.util.concurrent.Semaphore;
import org.jboss.logging.Logger;
import org.magnoliavale.Service;
import org.magnoliavale.internal.logging.Logs;
import sun.misc.Signal;

/**
 * The signals that ask a process to end: SIGTERM, and SIGINT from a terminal. The first one stops a
 * service gracefully and then ends the process with code 0, or 1 if the stop failed; later ones
 * change nothing. A signal that comes during the start of the service is kept until it has started.
 *
 * <p>They are handled here because the Java runtime's own orderly end closes the log before the
 * service has stopped.
 */
final class StopSignal {
  private static final Logger LOG = Logs.of("instance");
  private static final List<String> NAMES = List.of("TERM", "INT");

  private final Semaphore received = new Semaphore(0);

  private StopSignal() {}

  /** Handles the signals from now on; called before the service starts. */
  static StopSignal listen() {
    StopSignal signal = new StopSignal();
    NAMES.forEach(name -> Signal.handle(new Signal(name), ignored -> signal.receive(name)));
    return signal;
  }

  private void receive(String name) {
    LOG.infof("Stop signal. name=%s", name);
    received.release();
  }

  /** Stops a service that has started, at the first signal. */
  void stopAtFirst(Service service) {
    Thread.ofPlatform().daemon().name("stop").start(() -> awaitAndStop(service));
  }

  private void awaitAndStop(Service service) {
    received.acquireUninterruptibly();
    int exitCode = Command.SUCCESS;
    try {
      service.stop();
    } catch (RuntimeException | Error e) {
      LOG.error("Stop failed.", e);
      exitCode = Command.FAILURE;
    }
    Logs.close();
    Runtime.getRuntime().halt(exitCode);
  }
}
