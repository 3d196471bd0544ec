package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.dispatch.Artifact;

/**
 * A command whose effect the endpoint's directory entry does not show yet.
 *
 * @param command the command
 * @param lastSentNanos when it was last sent
 * @param confirmed whether the endpoint is known to have accepted it
 * @param resends how often it was sent again
 * @param confirmedNanos when it was known to be accepted; 0 until then
 */
record PendingCommand(
    EndpointCommand command,
    long lastSentNanos,
    boolean confirmed,
    int resends,
    long confirmedNanos) {
  boolean isModel() {
    return command.artifact().adapter().isEmpty();
  }

  boolean isLoad() {
    return command.operation() == EndpointCommand.Operation.LOAD;
  }

  Artifact artifact() {
    return command.artifact();
  }

  PendingCommand confirm(long nowNanos) {
    return new PendingCommand(command, lastSentNanos, true, resends, nowNanos);
  }

  PendingCommand resend(long nowNanos) {
    return new PendingCommand(command, nowNanos, confirmed, resends + 1, confirmedNanos);
  }
}
