package org.magnoliavale.soak;

/** Kinds of requests: their routes, deadlines and what they ask of a worker. */
enum Kind {
  LONG_STREAM("/long/", "stream", true, 2, 15_000),
  SHORT_STREAM("/short/", "stream", true, 2, 8_000),
  SINGLE_STREAM("/single/", "stream", false, 2, 12_000),
  SLOW_READER("/slow/", "stream", true, 2, 15_000),
  ORDER("/order/", "unsafe", false, 2, 4_000),
  READ("/read/", "safe", false, 2, 3_000),

  /** A stream that can't be resumed, of the longest duration. */
  LONGEST_STREAM("/longest/", "stream", false, 1, 25_000),

  /** An order with little time and one attempt. */
  QUICK_ORDER("/quick-order/", "unsafe", false, 1, 1_200),

  /** A read with little time; its endpoint fails some of them. */
  QUICK_READ("/quick-read/", "safe", false, 2, 1_200);

  private static final int FAILED_PERCENT = 14;

  private final String prefix;
  private final String routeKind;
  private final boolean resumable;
  private final int attempts;
  private final long timeoutMs;

  Kind(String prefix, String routeKind, boolean resumable, int attempts, long timeoutMs) {
    this.prefix = prefix;
    this.routeKind = routeKind;
    this.resumable = resumable;
    this.attempts = attempts;
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

  int attempts() {
    return attempts;
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
          case LONGEST_STREAM ->
              "x?events=60&gap=%d&work=150&size=80".formatted(between(60, 220, draw));
          case QUICK_ORDER -> "x?work=%d".formatted(between(10, 300, draw));
          case QUICK_READ -> "x?work=%d&fail=%d".formatted(between(10, 300, draw), FAILED_PERCENT);
        };
  }

  private static int between(int low, int high, double draw) {
    return low + (int) (draw * (high - low));
  }
}
