package org.magnoliavale.internal.load;

/** How a request of a load run ended. */
enum Outcome {
  /** The whole right answer came before the deadline. */
  IN_TIME,
  /** The whole right answer came after the deadline. */
  LATE,
  /** The system refused with an error code. */
  REFUSED,
  /** The stream ended with an explicit error event. */
  CUT_WITH_ERROR,
  /** No answer came. */
  NO_ANSWER,
  /** An answer was incomplete, wrong or another request's, and passed as whole. */
  WRONG,
  /** An order was said not to have run. */
  NOT_RUN,
  /** An order's outcome was said to be unknown. */
  UNKNOWN
}
