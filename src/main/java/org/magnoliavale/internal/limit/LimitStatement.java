package org.magnoliavale.internal.limit;

/** What a response says of the number of requests that its endpoint takes. */
public sealed interface LimitStatement {
  /** A response of an endpoint that takes any number. */
  LimitStatement UNLIMITED = new Unlimited();

  /** A response whose limit can't be read. */
  LimitStatement UNREADABLE = new Unreadable();

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

  /** The endpoint names a limit that can't be read, so what it said before still counts. */
  record Unreadable() implements LimitStatement {}
}
