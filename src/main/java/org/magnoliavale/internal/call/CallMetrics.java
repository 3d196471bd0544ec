package org.magnoliavale.internal.call;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Timer;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.metrics.UnexpectedFailures;

/** Counters of the outcomes of calls, and a timer of the first byte of each response. */
public final class CallMetrics {
  private final Counter answered;
  private final Counter failed;
  private final Counter rejected;
  private final Counter retried;
  private final Counter abandoned;
  private final Counter rejectedByForecast;
  private final Timer firstByte;
  private final Timer waited;
  private final UnexpectedFailures failures;

  /** Registers the metrics in {@code metrics}. */
  public CallMetrics(InstanceMetrics metrics) {
    answered = metrics.counter("calls_answered");
    failed = metrics.counter("calls_failed");
    rejected = metrics.counter("calls_refused");
    retried = metrics.counter("calls_repeated");
    abandoned = metrics.counter("calls_abandoned");
    rejectedByForecast = metrics.counter("calls_refused_by_forecast");
    firstByte = metrics.timer("call_first_byte");
    waited = metrics.timer("call_wait");
    failures =
        new UnexpectedFailures(metrics.counter("calls_failed_unexpectedly"), Logs.of("call"));
  }

  Counter answered() {
    return answered;
  }

  Counter failed() {
    return failed;
  }

  Counter rejected() {
    return rejected;
  }

  Counter retried() {
    return retried;
  }

  Counter abandoned() {
    return abandoned;
  }

  /** Returns the counter of calls that were rejected because they would have waited too long. */
  Counter rejectedByForecast() {
    return rejectedByForecast;
  }

  Timer firstByte() {
    return firstByte;
  }

  /** Returns the timer of the waits for room, of calls that were sent after one. */
  Timer waited() {
    return waited;
  }

  /** Returns what counts and logs the exceptions in steps of calls. */
  UnexpectedFailures failures() {
    return failures;
  }
}
