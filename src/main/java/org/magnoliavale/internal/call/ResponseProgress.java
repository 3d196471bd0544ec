package org.magnoliavale.internal.call;

import java.util.Optional;
import org.magnoliavale.internal.directory.SoftwareVersion;

/**
 * How far the response to a call has come, and which software version may go on with it: what two
 * versions write does not fit together. Guarded by its call.
 */
final class ResponseProgress {
  private boolean started;
  private Optional<Long> lastEvent;
  private Optional<SoftwareVersion> version = Optional.empty();

  /**
   * Returns the progress of a call whose response has not started.
   *
   * @param lastEvent the last event that the caller has, if it takes a stream up
   */
  ResponseProgress(Optional<Long> lastEvent) {
    this.lastEvent = lastEvent;
  }

  /** Returns whether the caller has got the beginning of the response. */
  boolean hasStarted() {
    return started;
  }

  /**
   * Marks the response as started, with what an endpoint has answered; returns whether it had not
   * been started before.
   */
  boolean startOnce(SoftwareVersion answering) {
    boolean first = !started;
    if (first) {
      started = true;
      version = Optional.of(answering);
    }
    return first;
  }

  /** Returns the last event that the caller has got. */
  Optional<Long> lastEvent() {
    return lastEvent;
  }

  /** Records what was passed on to the caller, with its last numeric id if it has one. */
  void eventForwarded(Optional<Long> id) {
    if (id.isPresent()) {
      lastEvent = id;
    }
  }

  /** Binds the response to a version before it has started. */
  void bind(SoftwareVersion required) {
    version = Optional.of(required);
  }

  /** Returns the only software version that the call may be sent to; empty if any will do. */
  Optional<SoftwareVersion> version() {
    return version;
  }
}
