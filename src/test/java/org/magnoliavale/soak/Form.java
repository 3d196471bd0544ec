package org.magnoliavale.soak;

import java.util.Map;
import java.util.Random;

/**
 * How a request and its answer are framed, and how the worker breaks the answer off.
 *
 * @param body how the request says where its body ends
 * @param connection what the caller says of its connection
 * @param framing how the worker's stream says where it ends
 * @param ending how each run of the stream ends
 * @param cut number of events after which a run ends, if it is broken off
 */
record Form(Body body, Connection connection, Framing framing, Ending ending, int cut) {
  /** How a request says where its body ends. */
  enum Body {
    LENGTH("Content-Length: 4\r\n\r\nbody"),
    CHUNKS("Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");

    private final String text;

    Body(String text) {
      this.text = text;
    }
  }

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
      new Form(Body.LENGTH, Connection.KEPT, Framing.CHUNKS, Ending.WHOLE, Integer.MAX_VALUE);

  private static final double CHUNKS_SHARE = 0.2;
  private static final double CLOSE_SHARE = 0.2;
  private static final int MAXIMUM_CUT = 15;

  /** Draws the form of a request whose answer is not broken off. */
  static Form drawRequest(Random random) {
    Body body = random.nextDouble() < CHUNKS_SHARE ? Body.CHUNKS : Body.LENGTH;
    Connection connection = random.nextDouble() < CLOSE_SHARE ? Connection.CLOSE : Connection.KEPT;
    return new Form(body, connection, PLAIN.framing, PLAIN.ending, PLAIN.cut);
  }

  /** Draws the form of a request and of its answer; the answer is often broken off. */
  static Form draw(Random random) {
    Connection connection = drawOne(Connection.values(), random);
    Body drawn = drawOne(Body.values(), random);
    // HTTP/1.0 has no chunks.
    Body body = connection == Connection.OLD ? Body.LENGTH : drawn;
    Framing framing = drawOne(Framing.values(), random);
    Ending ending = drawOne(Ending.values(), random);
    int cut = random.nextInt(1, MAXIMUM_CUT);
    return new Form(body, connection, framing, ending, cut);
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
    return kind.isStream()
        ? this
        : new Form(body, connection, PLAIN.framing, PLAIN.ending, PLAIN.cut);
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

  /** Returns the end of a request's head, and its body. */
  String endOfRequest() {
    return connection.header + body.text;
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
