package org.magnoliavale;

/**
 * Stable codes of everything that can go wrong, shown to callers and operators.
 *
 * <p>Each constant carries the code that is written on the wire and the HTTP status it maps to.
 */
public enum ErrorCode {
  /** Settings or document text has findings. */
  INVALID_CONFIGURATION("invalid-configuration", 422),
  /** The request is malformed. */
  INVALID_REQUEST("invalid-request", 400),
  /** The request body is larger than the limit. */
  BODY_TOO_LARGE("body-too-large", 413),
  /** The caller did not send its request in time. */
  REQUEST_TIMEOUT("request-timeout", 408),
  /** No token, or a token that is not known. */
  UNAUTHENTICATED("unauthenticated", 401),
  /** The token does not open this section. */
  FORBIDDEN("forbidden", 403),
  /** No such model, service, section or path. */
  NOT_FOUND("not-found", 404),
  /** The section was changed since the revision that the edit names. */
  REVISION_CONFLICT("revision-conflict", 412),
  /** The instance takes no more work now. */
  OVERLOADED("overloaded", 429),
  /** The deadline can't be met or has passed. */
  DEADLINE_EXCEEDED("deadline-exceeded", 504),
  /** No live endpoint holds the model at this moment. */
  MODEL_UNAVAILABLE("model-unavailable", 503),
  /** The endpoints answered wrongly or not at all. */
  UPSTREAM_FAILED("upstream-failed", 502),
  /** The request was stopped because it crashed endpoints. */
  REQUEST_CRASHES_ENDPOINTS("request-crashes-endpoints", 422),
  /** The instance is stopping. */
  STOPPING("stopping", 503),
  /** A call that may not be repeated carries no key. */
  IDEMPOTENCY_KEY_REQUIRED("idempotency-key-required", 400),
  /** The key was used before with other content. */
  IDEMPOTENCY_KEY_REUSED("idempotency-key-reused", 422),
  /** The first call with this key is still being run. */
  ORDER_IN_PROGRESS("order-in-progress", 409),
  /** The order certainly was not run. */
  ORDER_NOT_RUN("order-not-run", 503),
  /** Whether the order was run can't be told. */
  ORDER_OUTCOME_UNKNOWN("order-outcome-unknown", 502),
  /** The platform's service does not answer. */
  PLATFORM_UNAVAILABLE("platform-unavailable", 503),
  /** A fault inside the program. */
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
