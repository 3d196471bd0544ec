package org.magnoliavale.internal.dispatch;

/**
 * Load that an endpoint reports with a response.
 *
 * @param running running requests
 * @param waiting queued requests
 * @param slots number of requests that it can run concurrently
 * @param slowdownPercent how long work takes on its machine at this moment; 100 as usual
 */
public record ReportedLoad(int running, int waiting, int slots, int slowdownPercent) {
  /** Work takes as long as usual. */
  public static final int USUAL_PERCENT = 100;

  /** Returns the load of an endpoint that does not say how long work takes. */
  public ReportedLoad(int running, int waiting, int slots) {
    this(running, waiting, slots, USUAL_PERCENT);
  }
}
