package org.magnoliavale.internal.dispatch;

/** Why an endpoint does not get a request, in the order in which the reasons are checked. */
public enum EndpointExclusion {
  /** It drains, has left, or was replaced. */
  LEAVING("leaving"),
  /** The stream began at another version of the software. */
  OTHER_VERSION("other version"),
  /** The request has been tried there, or is in progress there. */
  TRIED("tried already"),
  /** It does not hold the model or adapter. */
  ARTIFACT_MISSING("artifact missing"),
  /** This instance uses its share of the endpoint's connections. */
  CONNECTIONS_USED("connections used"),
  /** The endpoint has named a limit of requests, and this instance's share is used. */
  LIMITED("limited"),
  /** It has failed, rejected a request or been silent a short time ago. */
  UNHEALTHY("unhealthy"),
  /** It has as many requests as it can take. */
  FULL("full"),
  /** Its memory has no room for the request. */
  MEMORY_FULL("memory full");

  private final String text;

  EndpointExclusion(String text) {
    this.text = text;
  }

  /** Returns the reason in a few words. */
  public String text() {
    return text;
  }
}
