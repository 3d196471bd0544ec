package org.magnoliavale.soak;

/** Kinds of requests: their routes, deadlines and what they ask of a worker. */
enum Kind {
  LONG_STREAM("/long/", "stream", true, 15_000),
  SHORT_STREAM("/short/", "stream", true, 8_000),
  SINGLE_STREAM("/single/", "stream", false, 12_000),
  SLOW_READER("/slow/", "stream", true, 15_000),
  ORDER("/order/", "unsafe", false, 4_000),
  READ("/read/", "safe", false, 3_000);

  private final String prefix;
  private final String routeKind;
  private final boolean resumable;
  private final long timeoutMs;

  Kind(String prefix, String routeKind, boolean resumable, long timeoutMs) {
    this.prefix = prefix;
    this.routeKind = routeKind;
    this.resumable = resumable;
    this.timeoutMs = timeoutMs;
  }

  String prefix() {
    return prefix;
  }

  String routeKind() {
    return routeKind;
  }

  boolean resumable() {
    return resumable;
  }

  /** Returns the timeout of the route, which is also the deadline of its callers. */
  long timeoutMs() {
    return timeoutMs;
  }

  boolean isStream() {
    return routeKind.equals("stream");
  }

  String service() {
    return isStream() ? "engine" : "plain";
  }

  /** Returns path and query of a request; {@code draw} is evenly distributed from 0 to 1. */
  String target(double draw) {
    return prefix
        + switch (this) {
          case LONG_STREAM ->
              "x?events=57&gap=%d&work=150&size=80".formatted(between(60, 200, draw));
          case SHORT_STREAM ->
              "x?events=23&gap=%d&work=150&size=80".formatted(between(60, 250, draw));
          case SINGLE_STREAM ->
              "x?events=40&gap=%d&work=100&size=80".formatted(between(60, 200, draw));
          case SLOW_READER ->
              "x?events=30&gap=60&work=100&size=%d".formatted(between(4_000, 9_000, draw));
          case ORDER -> "x?work=%d".formatted(between(20, 2_600, draw));
          case READ -> "x?work=%d".formatted(between(10, 800, draw));
        };
  }

  private static int between(int low, int high, double draw) {
    return low + (int) (draw * (high - low));
  }
}
