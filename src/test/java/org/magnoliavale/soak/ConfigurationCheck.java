package org.magnoliavale.soak;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What must not happen to requests while all endpoints are sound and only go silent at times, and
 * the configuration changes; the instances are not stopped.
 */
final class ConfigurationCheck {
  /** A fault that a request shows. */
  enum Fault {
    /** The connection ended without a complete response, before the time was used. */
    CUT_OFF,
    /** A response that is cut off cannot be told from a complete one. */
    LOOKS_COMPLETE,
    /** Not answered long after the route's timeout. */
    UNANSWERED,
    /** Answered with 502 or 504 although there was time left. */
    ENDED_EARLY,
    /** Refused although it had run. */
    REFUSED_AFTER_RUN,
    /** Answered as if it were not allowed. */
    DENIED,
    /** A request that may run once at most ran more often. */
    RAN_TWICE
  }

  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
  private static final Set<Integer> FAILURES = Set.of(502, 504);
  private static final int TOO_LARGE = 413;
  private static final int HUNDRED = 100;
  private static final int REDIRECT_CLASS = 3;
  private static final int SERVER_ERROR_CLASS = 5;

  /** Time after the timeout at which an answer is late, by the rules. */
  private static final long LATE_AFTER_MS = 500;

  /** The same for a verdict that does not depend on how busy the machine is. */
  private static final long UNANSWERED_AFTER_MS = 1_450;

  /** Share of the time after which the end of a request is not judged. */
  private static final double USED_SHARE = 0.7;

  private final ConfigurationHistory history;
  private final Map<String, List<Run>> runs;

  ConfigurationCheck(ConfigurationPlay.Result result) {
    this.history = result.history();
    this.runs = result.runs().stream().collect(Collectors.groupingBy(Run::requestId));
  }

  List<Run> runsOf(Exchange exchange) {
    return runs.getOrDefault(exchange.id(), List.of());
  }

  /** Returns the requests that show a fault, with that fault. */
  Map<Exchange, Fault> faults(List<Exchange> exchanges) {
    Map<Exchange, Fault> result = new LinkedHashMap<>();
    for (Exchange exchange : exchanges) {
      fault(exchange).ifPresent(fault -> result.put(exchange, fault));
    }
    return result;
  }

  private Optional<Fault> fault(Exchange exchange) {
    if (exchange.failure().equals(Exchange.LOOKS_COMPLETE)) {
      return Optional.of(Fault.LOOKS_COMPLETE);
    } else if (isUnanswered(exchange)) {
      return Optional.of(Fault.UNANSWERED);
    } else if (!exchange.whole() && hasTimeLeft(exchange)) {
      return Optional.of(Fault.CUT_OFF);
    } else if (FAILURES.contains(exchange.status()) && hasTimeLeft(exchange)) {
      return Optional.of(Fault.ENDED_EARLY);
    } else if (isDenied(exchange)) {
      return Optional.of(Fault.DENIED);
    } else if (PROMISES.contains(exchange.status()) && !runsOf(exchange).isEmpty()) {
      return Optional.of(Fault.REFUSED_AFTER_RUN);
    } else if (!mayRunAgain(exchange.kind()) && runsOf(exchange).size() > 1) {
      return Optional.of(Fault.RAN_TWICE);
    }
    return Optional.empty();
  }

  /** Returns how many requests were answered later than the rules allow. */
  long late(List<Exchange> exchanges) {
    return exchanges.stream().filter(each -> overtimeMs(each) > LATE_AFTER_MS).count();
  }

  private boolean isUnanswered(Exchange exchange) {
    return exchange.status() == 0 && overtimeMs(exchange) > UNANSWERED_AFTER_MS;
  }

  /** Returns the time by which a request was answered after its longest timeout. */
  private long overtimeMs(Exchange exchange) {
    long limit = Math.max(exchange.kind().timeoutMs(), history.longestTimeoutMs(exchange.kind()));
    return exchange.end() - exchange.read() - limit;
  }

  private boolean hasTimeLeft(Exchange exchange) {
    long duration = exchange.end() - exchange.sent();
    return duration < history.shortestTimeoutMs(exchange) * USED_SHARE;
  }

  private boolean isDenied(Exchange exchange) {
    boolean tooLarge = exchange.status() == TOO_LARGE && !history.allowsAllBodies(exchange);
    return exchange.status() / HUNDRED >= REDIRECT_CLASS
        && exchange.status() / HUNDRED < SERVER_ERROR_CLASS
        && !PROMISES.contains(exchange.status())
        && !tooLarge;
  }

  private static boolean mayRunAgain(Kind kind) {
    return kind.routeKind().equals("safe") || kind.resumable();
  }
}
