package org.magnoliavale.platform;

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

  /** Lowest limit in requests a second; without any request nobody would see it end. */
  static final double MINIMUM_LIMIT = 0.05;

  /** Highest limit in requests a second; more than a whole fleet sends to one worker. */
  static final double MAXIMUM_LIMIT = 1_000_000;

  private static final Pattern DECIMAL = Pattern.compile("\\d{1,30}(\\.\\d{1,30})?");

  private WorkerStatements() {}

  /** Returns what an answer says of its worker. */
  static EndpointStatement decode(HttpFields headers) {
    String leaving = headers.get(LEAVING);
    return new EndpointStatement(limit(headers), leaving != null && leaving.strip().equals("1"));
  }

  /** Returns what an answer to a command or about a report says; it need not name the limit. */
  static EndpointStatement decodeOfControl(HttpFields headers) {
    EndpointStatement statement = decode(headers);
    return headers.contains(LIMIT)
        ? statement
        : new EndpointStatement(LimitStatement.UNKNOWN, statement.leaving());
  }

  private static LimitStatement limit(HttpFields headers) {
    String value = headers.get(LIMIT);
    if (value == null) {
      return LimitStatement.UNLIMITED;
    }
    String text = value.strip();
    if (!DECIMAL.matcher(text).matches()) {
      return LimitStatement.UNKNOWN;
    }
    return LimitStatement.limited(
        Math.clamp(Double.parseDouble(text), MINIMUM_LIMIT, MAXIMUM_LIMIT));
  }
}
