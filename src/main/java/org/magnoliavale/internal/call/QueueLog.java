package org.magnoliavale.internal.call;

import java.time.Duration;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.queue.WaitForecast;
import org.magnoliavale.internal.queue.WaitingCall;

/** Logs at a bounded rate which calls begin to wait for room, and which are served. Thread-safe. */
final class QueueLog {
  private static final Logger LOG = Logs.of("queue");
  private static final int LINES_PER_SECOND = 10;

  private final LogTurns queued = new LogTurns(LINES_PER_SECOND);
  private final LogTurns dequeued = new LogTurns(LINES_PER_SECOND);

  void queued(String request, WaitingCall call, WaitForecast forecast, long nowNanos) {
    queued
        .take(nowNanos)
        .ifPresent(
            notLogged ->
                LOG.infof(
                    "Queued. request=%s service=%s artifact=%s tenant=%s priority=%d tokens=%d"
                        + " in-time-ms=%d predicted-ms=%d ahead=%d queue-length=%d"
                        + " not-logged-before=%d",
                    request,
                    call.queue().service(),
                    call.queue().artifact().map(Object::toString).orElse("-"),
                    call.tenant().map(Object::toString).orElse("-"),
                    call.priority(),
                    call.tokens(),
                    Duration.ofNanos(call.latestStartNanos() - nowNanos).toMillis(),
                    forecast.timeToStart().toMillis(),
                    forecast.ahead(),
                    forecast.length(),
                    notLogged));
  }

  void dequeued(String request, Duration waited, int length, long nowNanos) {
    dequeued
        .take(nowNanos)
        .ifPresent(
            notLogged ->
                LOG.infof(
                    "Dequeued. request=%s waited-ms=%d queue-length=%d not-logged-before=%d",
                    request, waited.toMillis(), length, notLogged));
  }
}
