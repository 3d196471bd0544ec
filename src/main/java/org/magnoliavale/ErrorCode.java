package org.magnoliavale;

/**
 * Stable error codes, returned to callers and operators.
 *
 * <p>Each constant has the code that is written on the wire and the HTTP status it maps to.
 */
public enum ErrorCode {
  /** Validation of a settings file or document reported findings. */
  INVALID_CONFIGURATION("invalid-configuration", 422),
  /** The request is malformed. */
  INVALID_REQUEST("invalid-request", 400),
  /** The request body is larger than the limit. */
  BODY_TOO_LARGE("body-too-large", 413),
  /** The caller did not send the complete request in time. */
  REQUEST_TIMEOUT("request-timeout", 408),
  /** The token is missing or unknown. */
  UNAUTHENTICATED("unauthenticated", 401),
  /** The token does not grant access to this section. */
  FORBIDDEN("forbidden", 403),
  /** No such model, service, section or path. */
  NOT_FOUND("not-found", 404),
  /** The section was changed after the revision that the edit is based on. */
  REVISION_CONFLICT("revision-conflict", 412),
  /** The instance is at its capacity and accepts no further requests. */
  OVERLOADED("overloaded", 429),
  /** The deadline cannot be met or has passed. */
  DEADLINE_EXCEEDED("deadline-exceeded", 504),
  /** No live endpoint has the model loaded. */
  MODEL_UNAVAILABLE("model-unavailable", 503),
  /** No endpoint runs the software version that began the stream; it can only begin anew. */
  STREAM_VERSION_GONE("stream-version-gone", 503),
  /** It is not known which software version began the stream; it can only begin anew. */
  STREAM_ORIGIN_UNKNOWN("stream-origin-unknown", 503),
  /** The endpoints returned invalid responses or none. */
  UPSTREAM_FAILED("upstream-failed", 502),
  /** The request is blocked because it crashed endpoints. */
  REQUEST_CRASHES_ENDPOINTS("request-crashes-endpoints", 422),
  /** The instance is shutting down. */
  STOPPING("stopping", 503),
  /** A non-idempotent request has no idempotency key. */
  IDEMPOTENCY_KEY_REQUIRED("idempotency-key-required", 400),
  /** The idempotency key was used before with different content. */
  IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422),
  /** An earlier non-idempotent request with the same key is still in progress. */
  ORDER_IN_PROGRESS("order-in-progress", 409),
  /** The non-idempotent request was definitely not executed. */
  ORDER_NOT_RUN("order-not-run", 503),
  /** It is unknown whether the non-idempotent request was executed. */
  ORDER_OUTCOME_UNKNOWN("order-outcome-unknown", 502),
  /** A service of the platform does not respond. */
  PLATFORM_UNAVAILABLE("platform-unavailable", 503),
  /** An internal error. */
  INTERNAL("internal", 500);

  private final String code;
  private final int httpStatus;

  ErrorCode(String code, int httpStatus) {
    this.code = code;
    this.httpStatus = httpStatus;
  }

  /** Returns the code as written on the wire. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status that goes with the code. */
  public int httpStatus() {
    return httpStatus;
  }
}
