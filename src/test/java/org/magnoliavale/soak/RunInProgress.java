package org.magnoliavale.soak;

/** A run that has not ended; written by the thread of its connection alone. */
final class RunInProgress {
  private final String requestId;
  private final String worker;
  private final long start;
  private volatile int events;

  RunInProgress(String requestId, String worker, long start) {
    this.requestId = requestId;
    this.worker = worker;
    this.start = start;
  }

  void eventWritten() {
    events++;
  }

  Run endedAt(long time, boolean whole) {
    return new Run(requestId, worker, start, time, events, whole);
  }
}
