package org.magnoliavale.internal.http;

import org.eclipse.jetty.client.HttpResponseException;

/** Describes failures of the HTTP client for logs and errors, in few words. */
public final class ExchangeFailures {
  private static final int MAXIMUM_LENGTH = 200;

  private ExchangeFailures() {}

  /**
   * Returns what has failed, in 200 characters at most. The client's own messages on a malformed
   * response hold the state of its connection; what is wrong with the response is in their cause.
   */
  public static String describe(Throwable failure) {
    boolean malformed = failure instanceof HttpResponseException && failure.getCause() != null;
    String text = String.valueOf(malformed ? failure.getCause() : failure);
    return text.length() <= MAXIMUM_LENGTH ? text : text.substring(0, MAXIMUM_LENGTH);
  }
}
