package org.magnoliavale.internal.residency;

/** Result of sending a command to an endpoint. */
public enum EndpointCommandResult {
  /** The endpoint executes the command. */
  ACCEPTED,
  /** The artifact is already in the requested state. */
  DONE,
  /** Another command is in progress, or the expected sequence differs. */
  CONFLICT,
  /** The endpoint has seen a higher fencing token. */
  FENCED,
  /** Another incarnation answers at the address. */
  OTHER_INCARNATION,
  /** The endpoint rejects the command as invalid. */
  INVALID,
  /** No usable response; the command may be executed, possibly later. */
  UNKNOWN,
  /** Not sent, because no connection could be made. */
  NOT_SENT,
  /** Not sent, because the lease was no longer held. */
  WITHHELD
}
