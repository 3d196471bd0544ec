package org.magnoliavale.internal.engine;

/** Result of sending a command to an engine. */
public sealed interface OrderAnswer {
  /** The engine accepted the command and will report its outcome. */
  record Accepted() implements OrderAnswer {}

  /** The engine refused the command; it has no effect. */
  record Refused(String reason) implements OrderAnswer {}

  /** The response was lost; the command may have been accepted or may still arrive. */
  record Unknown(String reason) implements OrderAnswer {}

  /** No byte of the command was sent. */
  record NotSent(String reason) implements OrderAnswer {}
}
