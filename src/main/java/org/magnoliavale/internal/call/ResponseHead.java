package org.magnoliavale.internal.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.internal.directory.EndpointStatement;
import org.magnoliavale.internal.dispatch.ReportedLoad;

/**
 * Status and parsed headers of an endpoint's response.
 *
 * @param status HTTP status
 * @param attemptId id of the attempt that the response belongs to, empty if absent
 * @param signed whether the response carries the endpoint's signature
 * @param notExecuted whether the endpoint states that it did not execute the request
 * @param otherIncarnation whether a different incarnation or endpoint now listens on the address
 * @param eventStream whether the body is a stream of server-sent events
 * @param contentEncoded whether the body has a content encoding
 * @param load the load that the endpoint reported, if any
 * @param statement what the endpoint says of itself
 */
public record ResponseHead(
    int status,
    String attemptId,
    boolean signed,
    boolean notExecuted,
    boolean otherIncarnation,
    boolean eventStream,
    boolean contentEncoded,
    Optional<ReportedLoad> load,
    EndpointStatement statement) {
  private static final int SUCCESS_CLASS = 2;
  private static final int NO_CONTENT = 204;
  private static final int RESET_CONTENT = 205;
  private static final int SERVER_ERROR = 500;
  private static final int HUNDRED = 100;

  /**
   * Returns the head as that of a response that came through a peer: what is not signed is the
   * peer's own, whose rejections promise that the call was not executed.
   */
  ResponseHead throughPeer() {
    return new ResponseHead(
        status,
        attemptId,
        signed,
        !signed && tellsNotExecuted(),
        false,
        eventStream,
        contentEncoded,
        Optional.empty(),
        statement);
  }

  /** Returns whether the status is 2xx. */
  public boolean isSuccess() {
    return status / HUNDRED == SUCCESS_CLASS;
  }

  /**
   * Returns whether an empty body of a success may be one whose endpoint stopped after the head.
   *
   * @param headers the headers of the response
   * @param method the method of the request
   */
  boolean mayLackBody(HttpFields headers, String method) {
    boolean bodyless =
        status == NO_CONTENT || status == RESET_CONTENT || HttpMethod.HEAD.is(method);
    return isSuccess() && !bodyless && !isFramed(headers);
  }

  /** Returns whether a response says itself where it ends, other than by its connection's end. */
  static boolean isFramed(HttpFields headers) {
    return headers.contains(HttpHeader.CONTENT_LENGTH)
        || headers.contains(HttpHeader.TRANSFER_ENCODING);
  }

  /** Returns whether the status tells a caller that its call was not executed. */
  boolean tellsNotExecuted() {
    return status == ErrorCode.OVERLOADED.httpStatus()
        || status == ErrorCode.MODEL_UNAVAILABLE.httpStatus()
        || status == ErrorCode.REQUEST_TIMEOUT.httpStatus();
  }

  /** Returns whether the status is 500 or higher. */
  public boolean isServerError() {
    return status >= SERVER_ERROR;
  }
}
