package org.magnoliavale.soak;

import java.util.Random;

/**
 * How a caller sends the body of a request.
 *
 * @param framing how the request says where its body ends
 * @param bytes size of the body
 * @param pieces number of pieces that the body is sent in
 * @param gapMs time between two pieces, in milliseconds
 */
record RequestBody(Framing framing, int bytes, int pieces, long gapMs) {
  /** How a request says where its body ends. */
  enum Framing {
    LENGTH,

    /** One chunk for each piece. */
    CHUNKS
  }

  static final RequestBody SMALL = small(false);
  static final int LARGE_BYTES = 200_000;
  static final int NEAR_LIMIT_BYTES = 1_048_576;
  private static final long PIECE_GAP_MS = 100;

  static RequestBody small(boolean chunked) {
    return of(chunked, 4, 1, 0);
  }

  static RequestBody draw(boolean chunked, Random random) {
    double size = random.nextDouble();
    if (size < 0.55) {
      return small(chunked);
    } else if (size < 0.8) {
      return of(chunked, 900, 2 + random.nextInt(5), PIECE_GAP_MS);
    } else if (size < 0.95) {
      return of(chunked, LARGE_BYTES, 1 + random.nextInt(4), PIECE_GAP_MS);
    }
    return of(chunked, NEAR_LIMIT_BYTES - random.nextInt(2), 3, 0);
  }

  private static RequestBody of(boolean chunked, int bytes, int pieces, long gapMs) {
    return new RequestBody(chunked ? Framing.CHUNKS : Framing.LENGTH, bytes, pieces, gapMs);
  }

  String header() {
    return framing == Framing.CHUNKS
        ? "Transfer-Encoding: chunked\r\n"
        : "Content-Length: " + bytes + "\r\n";
  }

  /** Returns the bytes of a piece of the body, from 0. */
  String piece(int number) {
    int size = bytes / pieces + (number == 0 ? bytes % pieces : 0);
    String text = "b".repeat(size);
    if (framing == Framing.LENGTH) {
      return text;
    }
    boolean last = number == pieces - 1;
    return WorkerMessages.chunk(text) + (last ? "0\r\n\r\n" : "");
  }
}
