package org.magnoliavale.internal.engine;

/**
 * One transmission of an order to an engine. A repeated order is another transmission.
 *
 * @param transmission unique id of this transmission
 * @param kind {@code load} or {@code unload}
 * @param artifact text form of the artifact
 * @param bytes memory of the artifact, in bytes
 * @param fence fencing number; later orders carry higher ones
 * @param notAfterMs last moment of sending, in milliseconds since 1970
 */
public record EngineOrder(
    String transmission, String kind, String artifact, long bytes, long fence, long notAfterMs) {
  /** Kind of an order that brings an artifact into memory. */
  public static final String LOAD = "load";

  /** Kind of an order that removes an artifact from memory. */
  public static final String UNLOAD = "unload";
}
