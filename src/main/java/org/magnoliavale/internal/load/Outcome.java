package org.magnoliavale.internal.load;

/** Outcome of a request of a load run, as printed in the report in lower case. */
enum Outcome {
  /** The complete, correct response arrived before the deadline. */
  IN_TIME,
  /** The complete, correct response arrived after the deadline. */
  LATE,
  /** The request was rejected with an error code. */
  REFUSED,
  /** The stream ended with an explicit error event. */
  CUT_WITH_ERROR,
  /** No response arrived. */
  NO_ANSWER,
  /** The response was truncated, incorrect or of another request, but reported no error. */
  WRONG,
  /** A non-idempotent request was reported as not executed. */
  NOT_RUN,
  /** The outcome of a non-idempotent request was reported as unknown. */
  UNKNOWN
}
