package org.magnoliavale.soak;

import java.util.Map;
import java.util.Random;

/**
 * How a request and its answer are framed, and how the worker breaks the answer off.
 *
 * @param body size and pieces of the request's body, and how it says where it ends
 * @param connection what the caller says of its connection
 * @param framing how the worker's stream says where it ends
 * @param ending how each run of the stream ends
 * @param cut number of events after which a run ends, if it is broken off
 */
record Form(RequestBody body, Connection connection, Framing framing, Ending ending, int cut) {
  /** What a caller says of its connection. */
  enum Connection {
    KEPT("HTTP/1.1", ""),
    CLOSE("HTTP/1.1", "Connection: close\r\n"),
    OLD("HTTP/1.0", "");

    private final String version;
    private final String header;

    Connection(String version, String header) {
      this.version = version;
      this.header = header;
    }
  }

  /** How a stream says where it ends. */
  enum Framing {
    CHUNKS,
    CONNECTION
  }

  /** How a run of a stream ends. */
  enum Ending {
    WHOLE,
    RESET_BETWEEN_EVENTS,
    CLOSED_WITHIN_EVENT
  }

  /** What most callers and workers do. */
  static final Form PLAIN =
      new Form(RequestBody.SMALL, Connection.KEPT, Framing.CHUNKS, Ending.WHOLE, Integer.MAX_VALUE);

  private static final double CHUNKS_SHARE = 0.2;
  private static final double CLOSE_SHARE = 0.2;
  private static final int MAXIMUM_CUT = 15;

  /** Draws the form of a request whose answer is not broken off. */
  static Form drawRequest(Random random) {
    boolean chunked = random.nextDouble() < CHUNKS_SHARE;
    Connection connection = random.nextDouble() < CLOSE_SHARE ? Connection.CLOSE : Connection.KEPT;
    return ofRequest(RequestBody.small(chunked), connection);
  }

  /** Draws the same for a body that may be large and come in pieces. */
  static Form drawPieces(Random random) {
    boolean chunked = random.nextInt(3) == 0;
    Connection connection = random.nextInt(5) == 0 ? Connection.CLOSE : Connection.KEPT;
    return ofRequest(RequestBody.draw(chunked, random), connection);
  }

  private static Form ofRequest(RequestBody body, Connection connection) {
    return new Form(body, connection, PLAIN.framing, PLAIN.ending, PLAIN.cut);
  }

  /** Draws the form of a request and of its answer; the answer is often broken off. */
  static Form draw(Random random) {
    Connection connection = drawOne(Connection.values(), random);
    RequestBody.Framing drawn = drawOne(RequestBody.Framing.values(), random);
    // HTTP/1.0 has no chunks.
    boolean chunked = connection != Connection.OLD && drawn == RequestBody.Framing.CHUNKS;
    Framing framing = drawOne(Framing.values(), random);
    Ending ending = drawOne(Ending.values(), random);
    int cut = random.nextInt(1, MAXIMUM_CUT);
    return new Form(RequestBody.small(chunked), connection, framing, ending, cut);
  }

  private static <T> T drawOne(T[] values, Random random) {
    return values[random.nextInt(values.length)];
  }

  /** Returns the form that a worker takes from the query of a request. */
  static Form ofQuery(Map<String, Integer> query) {
    return new Form(
        PLAIN.body,
        PLAIN.connection,
        Framing.values()[query.getOrDefault("framing", PLAIN.framing.ordinal())],
        Ending.values()[query.getOrDefault("ending", PLAIN.ending.ordinal())],
        query.getOrDefault("cut", PLAIN.cut));
  }

  /** Returns the form of a request of a kind; only streams are broken off. */
  Form of(Kind kind) {
    return kind.isStream() ? this : ofRequest(body, connection);
  }

  /** Returns what the query of a request tells the worker. */
  String query() {
    return framing == PLAIN.framing && ending == PLAIN.ending
        ? ""
        : "&framing=%d&ending=%d&cut=%d".formatted(framing.ordinal(), ending.ordinal(), cut);
  }

  String version() {
    return connection.version;
  }

  /** Returns the header lines of a request that tell of its body and its connection. */
  String headers() {
    return body.header() + connection.header;
  }

  boolean closesConnection() {
    return connection != Connection.KEPT;
  }

  boolean isBrokenOff() {
    return ending != Ending.WHOLE;
  }

  /** Returns whether a run is broken off that has written so many events. */
  boolean endsAfter(int events) {
    return isBrokenOff() && events >= cut;
  }
}
