package org.magnoliavale.internal.directory;

/** What a response says of the number of requests that its endpoint takes. */
public sealed interface LimitStatement {
  /** A response of an endpoint that takes any number. */
  LimitStatement UNLIMITED = new Unlimited();

  /** A response that tells nothing of a limit. */
  LimitStatement UNKNOWN = new Unknown();

  /** Returns the statement of an endpoint that takes so many requests from all instances. */
  static LimitStatement limited(double requestsPerSecond) {
    return new Limited(requestsPerSecond);
  }

  /** The endpoint takes so many requests a second from all instances together. */
  record Limited(double requestsPerSecond) implements LimitStatement {
    /** Checks the rate. */
    public Limited {
      if (!Double.isFinite(requestsPerSecond) || requestsPerSecond <= 0) {
        throw new IllegalArgumentException("requestsPerSecond: " + requestsPerSecond);
      }
    }
  }

  /** The endpoint names no limit. */
  record Unlimited() implements LimitStatement {}

  /**
   * The response names a limit that can't be read, or need not name one; what was said before
   * holds.
   */
  record Unknown() implements LimitStatement {}
}
