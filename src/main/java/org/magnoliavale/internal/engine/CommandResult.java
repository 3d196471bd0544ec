package org.magnoliavale.internal.engine;

/** Result of sending a command to an engine. */
public sealed interface CommandResult {
  /** The engine accepted the command and will report its outcome. */
  record Accepted() implements CommandResult {}

  /** The engine refused the command; it has no effect. */
  record Refused(String reason) implements CommandResult {}

  /** The response was lost; the command may have been accepted or may still arrive. */
  record Unknown(String reason) implements CommandResult {}

  /** No byte of the command was sent. */
  record NotSent(String reason) implements CommandResult {}
}
