package org.magnoliavale.internal.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Writes bytes without end until the connection is closed, and counts them. */
public final class EndlessBytes {
  /** Most bytes that a connection may take that is closed at a bound; most are socket buffers. */
  public static final long MAXIMUM_TAKEN = 8L << 20;

  /** Ends the writing where nothing else does, so that a failing test ends. */
  private static final long GIVE_UP_BYTES = 48L << 20;

  private static final long TIMEOUT_S = 20;

  private static final int WRITE_BYTES = 32 * 1_024;

  private EndlessBytes() {}

  /**
   * Writes {@code text} repeatedly; the result is the number of bytes that were taken. It fails if
   * the connection stays open without taking more.
   */
  public static CompletableFuture<Long> writeUntilClosed(OutputStream output, String text) {
    CompletableFuture<Long> taken = new CompletableFuture<>();
    Thread.ofVirtual().start(() -> taken.complete(write(output, text)));
    return taken.orTimeout(TIMEOUT_S, TimeUnit.SECONDS);
  }

  private static long write(OutputStream output, String text) {
    String repeated = text.repeat(Math.max(1, WRITE_BYTES / text.length()));
    byte[] bytes = repeated.getBytes(StandardCharsets.US_ASCII);
    long taken = 0;
    try {
      while (taken < GIVE_UP_BYTES) {
        output.write(bytes);
        taken += bytes.length;
      }
    } catch (IOException e) {
      // The peer closed the connection.
      return taken;
    }
    return taken;
  }
}
