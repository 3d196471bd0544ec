package org.magnoliavale.internal.http;

/** What became of a JSON call. */
public sealed interface JsonAnswer {
  /** The peer answered in full. */
  record Answered(int status, byte[] body) implements JsonAnswer {}

  /** Bytes may have left, but no whole answer came. */
  record Lost(String reason) implements JsonAnswer {}

  /** No byte left. */
  record NotSent(String reason) implements JsonAnswer {}
}
