package org.magnoliavale.internal.command;

import java.util.concurrent.Semaphore;
import sun.misc.Signal;

/**
 * SIGHUP, which tells a process that its settings file has changed. While nothing handles it, the
 * Java runtime takes it for a request to stop. Signals that arrive before an earlier one has been
 * awaited count as one.
 */
final class ReloadSignal {
  private static final String NAME = "HUP";

  private final Semaphore received = new Semaphore(0);

  private ReloadSignal() {}

  /** Handles the signal from now on; a command calls this before anything else. */
  static ReloadSignal listen() {
    ReloadSignal signal = new ReloadSignal();
    Signal.handle(new Signal(NAME), ignored -> signal.received.release());
    return signal;
  }

  /** Waits for the next signal. */
  void await() throws InterruptedException {
    received.acquire();
    received.drainPermits();
  }
}
