package org.magnoliavale.soak;

import java.util.Random;

/** A kind of change of the configuration. */
enum ConfigurationChange {
  ROUTE_ADDED,
  ROUTE_MOVED,
  ROUTE_SPLIT,
  TIMEOUT_SHORTER,
  TIMEOUT_LONGER,
  TIMEOUT_VERY_SHORT,
  BODY_LIMIT_LARGER,
  BODY_LIMIT_SMALLER,
  HEADER_LIMIT,
  IDLE_LIMIT_SHORT,
  IDLE_LIMIT_NONE,
  SAME_VERSION,
  OLDER_VERSION,
  QUICK_SUCCESSION,
  MANY_ROUTES,
  SMALLER_SERVICES,
  MODEL_ADDED,
  UNREADABLE;

  private static final int QUICK_VERSIONS = 12;
  private static final long QUICK_INTERVAL_MS = 330;
  private static final int MANY_ROUTES_COUNT = 350;
  private static final int SMALL_CONNECTION_LIMIT = 40;
  private static final long VERY_SHORT_MS = 150;
  private static final Kind[] PLAIN = {Kind.ORDER, Kind.READ, Kind.QUICK_ORDER, Kind.QUICK_READ};

  /** Makes the change now; {@code history} writes the versions. */
  void play(ConfigurationHistory history, Random random) {
    Kind plain = PLAIN[random.nextInt(PLAIN.length)];
    Kind any = Kind.values()[random.nextInt(Kind.values().length)];
    switch (this) {
      case ROUTE_ADDED -> history.write(history.next());
      case ROUTE_MOVED -> history.write(history.next().withService(plain, "engine"));
      case ROUTE_SPLIT -> history.write(history.next().withSplit(plain, 1, 1 + random.nextInt(9)));
      case TIMEOUT_SHORTER -> history.write(history.next().withTimeout(any, any.timeoutMs() / 2));
      case TIMEOUT_LONGER -> history.write(history.next().withTimeout(any, any.timeoutMs() * 3));
      case TIMEOUT_VERY_SHORT -> history.write(history.next().withTimeout(any, VERY_SHORT_MS));
      case BODY_LIMIT_LARGER ->
          history.write(history.next().withBodyBytes(4 * RequestBody.NEAR_LIMIT_BYTES));
      case BODY_LIMIT_SMALLER ->
          history.write(history.next().withBodyBytes(RequestBody.LARGE_BYTES / 2));
      case HEADER_LIMIT ->
          history.write(
              history.next().withLimit("header-bytes", 1_024).withLimit("header-timeout-ms", 500));
      case IDLE_LIMIT_SHORT -> history.write(history.next().withLimit("idle-timeout-ms", 200));
      case IDLE_LIMIT_NONE -> history.write(history.next().withLimit("idle-timeout-ms", 0));
      case SAME_VERSION -> history.writeAgain(0);
      case OLDER_VERSION -> history.writeAgain(1);
      case QUICK_SUCCESSION -> {
        for (int number = 0; number < QUICK_VERSIONS; number++) {
          history.write(history.next().withSplit(plain, 1 + number % 2, 1 + number % 3));
          PlayClock.sleep(QUICK_INTERVAL_MS);
        }
      }
      case MANY_ROUTES -> history.write(history.next().withAddedRoutes(MANY_ROUTES_COUNT));
      case SMALLER_SERVICES ->
          history.write(
              history
                  .next()
                  .withConnectionLimit(SMALL_CONNECTION_LIMIT)
                  .withSlots(SoakWorker.SLOTS / 2));
      case MODEL_ADDED -> history.write(history.next().withModel("model-2"));
      case UNREADABLE -> history.writeUnreadable(random.nextBoolean() ? "{\"version\":" : "[]");
    }
  }
}
