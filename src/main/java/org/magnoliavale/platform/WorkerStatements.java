package org.magnoliavale.platform;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;
import org.magnoliavale.internal.directory.EndpointStatement;
import org.magnoliavale.internal.directory.LimitStatement;

/** Decodes what workers say of themselves in the headers of any answer, within stated bounds. */
final class WorkerStatements {
  /** Requests a second that a worker takes from all machines. */
  static final String LIMIT = "Server-Limit";

  /** Whether a worker is about to leave: 1, or absent. */
  static final String LEAVING = "Server-Leaving";

  /** With status 503: seconds for which a worker wants no request of this machine. */
  static final String RETRY_AFTER = "Retry-After";

  /** Longest time for which a worker is left alone after one answer. */
  static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(60);

  /** Lowest limit in requests a second; without any request nobody would see it end. */
  static final double MINIMUM_LIMIT = 0.05;

  /** Highest limit in requests a second; more than a whole fleet sends to one worker. */
  static final double MAXIMUM_LIMIT = 1_000_000;

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private static final Pattern DECIMAL = Pattern.compile("\\d{1,30}(\\.\\d{1,30})?");

  private WorkerStatements() {}

  /** Returns what the answer to a request that the worker has run says. */
  static EndpointStatement decode(int status, HttpFields headers) {
    String leaving = headers.get(LEAVING);
    return new EndpointStatement(
        limit(headers),
        leaving != null && leaving.strip().equals("1"),
        status == SERVICE_UNAVAILABLE ? pause(headers) : Duration.ZERO);
  }

  /**
   * Returns what any other answer says: to a request that was turned away, to a command or with a
   * report. It need not name a limit that is in force.
   */
  static EndpointStatement decodeOther(int status, HttpFields headers) {
    EndpointStatement statement = decode(status, headers);
    return headers.contains(LIMIT)
        ? statement
        : new EndpointStatement(LimitStatement.UNKNOWN, statement.leaving(), statement.pause());
  }

  private static Duration pause(HttpFields headers) {
    return decimal(headers.get(RETRY_AFTER)).stream()
        .map(seconds -> Math.min(seconds, MAXIMUM_PAUSE.toSeconds()))
        .mapToObj(seconds -> Duration.ofMillis((long) Math.ceil(seconds * MILLISECONDS_PER_SECOND)))
        .findFirst()
        .orElse(Duration.ZERO);
  }

  private static LimitStatement limit(HttpFields headers) {
    String value = headers.get(LIMIT);
    if (value == null) {
      return LimitStatement.UNLIMITED;
    }
    OptionalDouble rate = decimal(value);
    return rate.isEmpty()
        ? LimitStatement.UNKNOWN
        : LimitStatement.limited(Math.clamp(rate.getAsDouble(), MINIMUM_LIMIT, MAXIMUM_LIMIT));
  }

  private static OptionalDouble decimal(String value) {
    if (value == null || !DECIMAL.matcher(value.strip()).matches()) {
      return OptionalDouble.empty();
    }
    return OptionalDouble.of(Double.parseDouble(value.strip()));
  }
}
