package org.magnoliavale.internal.call;

import java.util.Optional;
import org.magnoliavale.internal.dispatch.ReportedLoad;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status HTTP status
 * @param attemptId the attempt that it answers, empty if it does not say
 * @param signed whether it carries the endpoint's signature
 * @param notExecuted whether the endpoint says that it did not run the call
 * @param otherIncarnation whether another endpoint has the address now
 * @param events whether the body is a stream of events
 * @param encoded whether the body is not the endpoint's plain one
 * @param load the endpoint's load, if it tells
 */
public record AnswerFacts(
    int status,
    String attemptId,
    boolean signed,
    boolean notExecuted,
    boolean otherIncarnation,
    boolean events,
    boolean encoded,
    Optional<ReportedLoad> load) {
  private static final int SUCCESS_CLASS = 2;
  private static final int SERVER_ERROR = 500;
  private static final int HUNDRED = 100;

  /** Tells whether the call succeeded. */
  public boolean isSuccess() {
    return status / HUNDRED == SUCCESS_CLASS;
  }

  /** Tells whether the endpoint failed. */
  public boolean isServerError() {
    return status >= SERVER_ERROR;
  }
}
