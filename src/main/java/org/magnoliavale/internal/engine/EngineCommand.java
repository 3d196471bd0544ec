package org.magnoliavale.internal.engine;

/**
 * One transmission of a command to an engine. A repeated command is a new transmission.
 *
 * @param transmission unique id of this transmission
 * @param kind {@code load} or {@code unload}
 * @param artifact text form of the artifact
 * @param bytes memory of the artifact, in bytes
 * @param fence fencing token; later commands carry higher ones
 * @param notAfterMs latest time of sending, in milliseconds since the Unix epoch
 */
public record EngineCommand(
    String transmission, String kind, String artifact, long bytes, long fence, long notAfterMs) {
  /** Kind of a command that loads an artifact into memory. */
  public static final String LOAD = "load";

  /** Kind of a command that removes an artifact from memory. */
  public static final String UNLOAD = "unload";
}
