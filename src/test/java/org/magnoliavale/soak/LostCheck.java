package org.magnoliavale.soak;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Rule LOST around planned work of an instance: a whole request was read, and the connection ended
 * without a complete response. What a configuration change alone cuts is not judged, nor what the
 * worker breaks off.
 */
final class LostCheck {
  private static final long GRACE_MS = InstanceProcess.GRACE_PERIOD_S * 1_000L;
  private static final long AFTER_GRACE_MS = 1_000;
  private static final long LOST_MS = 200;
  private static final long SENT_SOON_MS = 3_000;
  private static final long LAST_SIXTH_START_MS = GRACE_MS * 5 / 6;

  private final long stop;
  private final Map<String, List<Run>> runs;

  /** Returns the check of a play whose instance of index 0 got SIGTERM at {@code stop}. */
  LostCheck(long stop, List<Run> runs) {
    this.stop = stop;
    this.runs = runs.stream().collect(Collectors.groupingBy(Run::requestId));
  }

  /** Returns the requests that broke the rule. */
  List<Exchange> lost(List<Exchange> exchanges) {
    return exchanges.stream().filter(this::isCutOff).filter(e -> !isExcused(e)).toList();
  }

  /** Returns the requests that were cut off for a reason that the rule names. */
  List<Exchange> excused(List<Exchange> exchanges) {
    return exchanges.stream().filter(this::isCutOff).filter(this::isExcused).toList();
  }

  List<Run> runsOf(Exchange exchange) {
    return runs.getOrDefault(exchange.id(), List.of());
  }

  /** Returns the requests that were cut off before the deadline, but not around the stop. */
  List<Exchange> outside(List<Exchange> exchanges) {
    return exchanges.stream()
        .filter(exchange -> isCut(exchange) && !isAroundStop(exchange))
        .filter(exchange -> !reachedDeadline(exchange))
        .toList();
  }

  private boolean isCutOff(Exchange exchange) {
    return isCut(exchange) && isAroundStop(exchange);
  }

  private boolean isAroundStop(Exchange exchange) {
    return exchange.instance() == 0
        && exchange.end() >= stop
        && exchange.end() <= stop + GRACE_MS + AFTER_GRACE_MS;
  }

  private boolean isCut(Exchange exchange) {
    boolean accepted =
        !runsOf(exchange).isEmpty()
            || exchange.end() - exchange.read() > LOST_MS && !exchange.isUnread();
    return !exchange.whole() && accepted && !exchange.form().isBrokenOff();
  }

  private boolean isExcused(Exchange exchange) {
    boolean sentSoon = exchange.sent() <= stop + SENT_SOON_MS;
    return reachedDeadline(exchange) || sentSoon && wasAtWorkInLastSixth(exchange);
  }

  private static boolean reachedDeadline(Exchange exchange) {
    return exchange.end() - exchange.sent() >= exchange.kind().timeoutMs();
  }

  private boolean wasAtWorkInLastSixth(Exchange exchange) {
    // A worker sees the end of its connection late; its work for the caller ends with the cut.
    return runsOf(exchange).stream()
        .anyMatch(run -> Math.min(run.end(), exchange.end()) >= stop + LAST_SIXTH_START_MS);
  }
}
