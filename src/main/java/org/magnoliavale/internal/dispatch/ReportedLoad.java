package org.magnoliavale.internal.dispatch;

/**
 * Load that an endpoint reports with a response.
 *
 * @param running running requests
 * @param waiting queued requests
 * @param slots number of requests that it can run concurrently
 */
public record ReportedLoad(int running, int waiting, int slots) {}
