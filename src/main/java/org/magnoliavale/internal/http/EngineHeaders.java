package org.magnoliavale.internal.http;

/** Headers between instances and endpoints, and between callers and instances. */
public final class EngineHeaders {
  /** Id of an attempt; an answer must carry it back. */
  public static final String ATTEMPT = "X-Attempt-Id";

  /** Artifact that an engine is to use. */
  public static final String ARTIFACT = "X-Artifact";

  /** Priority from 0 (lowest) to 9. */
  public static final String PRIORITY = "X-Priority";

  /** Id of the last event that was received, to resume a stream after it. */
  public static final String LAST_EVENT_ID = "Last-Event-ID";

  /** Id of a request, returned to the caller and written to the log. */
  public static final String REQUEST = "X-Request-Id";

  /** Time that a caller gives its request, in milliseconds. */
  public static final String TIMEOUT = "X-Request-Timeout-Ms";

  /** Key that makes a call that may not be repeated safe to send again. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** W3C trace context, passed on unchanged. */
  public static final String TRACE_PARENT = "traceparent";

  private EngineHeaders() {}
}
