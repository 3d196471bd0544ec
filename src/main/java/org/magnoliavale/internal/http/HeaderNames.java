package org.magnoliavale.internal.http;

/** Names of HTTP headers between callers, instances and endpoints. */
public final class HeaderNames {
  /** Id of an attempt; the response must return the same value. */
  public static final String ATTEMPT_ID = "X-Attempt-Id";

  /** Artifact that the engine must use for the request. */
  public static final String ARTIFACT = "X-Artifact";

  /** Priority of a request, from 0 (lowest) to 9 (highest). */
  public static final String PRIORITY = "X-Priority";

  /** Id of the last event received; the stream resumes after it. */
  public static final String LAST_EVENT_ID = "Last-Event-ID";

  /** Id of a request, returned to the caller and written to the log. */
  public static final String REQUEST_ID = "X-Request-Id";

  /** Timeout that the caller sets for its request, in milliseconds. */
  public static final String TIMEOUT = "X-Request-Timeout-Ms";

  /** Key that lets a caller safely resend a non-idempotent request. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** W3C trace context, forwarded unchanged. */
  public static final String TRACE_PARENT = "traceparent";

  private HeaderNames() {}
}
