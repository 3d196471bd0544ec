package org.magnoliavale.internal.traffic;

import java.time.Duration;
import java.util.UUID;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Team;
import org.magnoliavale.internal.hash.Sha256;
import org.magnoliavale.internal.http.HeaderNames;

/**
 * Properties of a caller's request that are independent of its path and body.
 *
 * @param requestId id of the request, logged and returned to the caller
 * @param deadlineNanos deadline of the response, in the time of {@link System#nanoTime}
 * @param priority from 0 (lowest) to 9
 * @param team name of the caller's team, or {@link #ANONYMOUS}
 * @param traceParent W3C trace context, or null
 */
public record RequestContext(
    String requestId, long deadlineNanos, int priority, String team, String traceParent) {
  /** Team of callers that send no token. */
  public static final String ANONYMOUS = "anonymous";

  private static final String BEARER = "Bearer ";
  private static final int HIGHEST_PRIORITY = 9;
  private static final int MAXIMUM_ID_LENGTH = 128;
  private static final long MAXIMUM_TIMEOUT_MS = Duration.ofHours(1).toMillis();

  /**
   * Parses the headers of a request.
   *
   * @throws MagnoliavaleException if a header is malformed or the token is unknown
   */
  public static RequestContext of(
      HttpFields headers, Document document, Duration defaultDeadline, long nowNanos) {
    long timeoutMs =
        parseInteger(
            headers, HeaderNames.TIMEOUT, defaultDeadline.toMillis(), 1, MAXIMUM_TIMEOUT_MS);
    int priority = (int) parseInteger(headers, HeaderNames.PRIORITY, 0, 0, HIGHEST_PRIORITY);
    return new RequestContext(
        requestId(headers),
        nowNanos + Duration.ofMillis(timeoutMs).toNanos(),
        priority,
        team(headers, document),
        headers.get(HeaderNames.TRACE_PARENT));
  }

  /** Returns the milliseconds until the deadline; 0 or less if it has passed. */
  public long remainingMs(long nowNanos) {
    return (deadlineNanos - nowNanos) / 1_000_000;
  }

  private static String requestId(HttpFields headers) {
    String id = headers.get(HeaderNames.REQUEST_ID);
    if (id == null || id.isBlank()) {
      return UUID.randomUUID().toString();
    }
    if (id.length() > MAXIMUM_ID_LENGTH || !id.chars().allMatch(c -> c > ' ' && c < 127)) {
      throw MagnoliavaleException.of(
          ErrorCode.INVALID_REQUEST, HeaderNames.REQUEST_ID + " is malformed");
    }
    return id;
  }

  private static String team(HttpFields headers, Document document) {
    String authorization = headers.get(HttpHeader.AUTHORIZATION);
    if (authorization == null) {
      return ANONYMOUS;
    }
    if (!authorization.startsWith(BEARER)) {
      throw MagnoliavaleException.of(ErrorCode.UNAUTHENTICATED, "expected a bearer token");
    }
    String hash = Sha256.of(authorization.substring(BEARER.length()).strip());
    return document
        .teamByTokenHash(hash)
        .map(Team::id)
        .orElseThrow(() -> MagnoliavaleException.of(ErrorCode.UNAUTHENTICATED, "unknown token"))
        .value();
  }

  private static long parseInteger(
      HttpFields headers, String name, long defaultValue, long minimum, long maximum) {
    String text = headers.get(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      long value = Long.parseLong(text.strip());
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Rejected below, like a number out of range.
    }
    throw MagnoliavaleException.of(
        ErrorCode.INVALID_REQUEST, name + " must be an integer from " + minimum + " to " + maximum);
  }
}
