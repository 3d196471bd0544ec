package org.magnoliavale.internal.dispatch;

/**
 * What an endpoint said of its load with an answer.
 *
 * @param running requests that it runs
 * @param waiting requests in its queue
 * @param slots requests that it can run at once
 */
public record ReportedLoad(int running, int waiting, int slots) {}
