package org.magnoliavale.internal.route;

import java.time.Duration;
import java.util.List;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * One route: the requests that it matches and how they are forwarded.
 *
 * @param name name in the configuration
 * @param host host of the request, in lower case
 * @param prefix path prefix, with a slash at both ends
 * @param kind kind of its calls, which determines when they may be retried
 * @param resumable whether a stream may be resumed at another endpoint after its last event
 * @param priority 0 is the most urgent
 * @param maximumAttempts maximum number of attempts that may be executed per call
 * @param timeout maximum duration of a call
 * @param targetLatency latency up to which a response has its full value
 * @param targetGap longest pause between two events of a stream that is still on time; 0 if the
 *     configuration states none
 * @param open whether its requests need no key of a tenant
 * @param services target services with their weights
 */
public record Route(
    String name,
    String host,
    String prefix,
    CallKind kind,
    boolean resumable,
    int priority,
    int maximumAttempts,
    Duration timeout,
    Duration targetLatency,
    Duration targetGap,
    boolean open,
    List<WeightedService> services) {
  /** Longest timeout; a longer one stands for none, and may be too long to count in nanoseconds. */
  public static final Duration MAXIMUM_TIMEOUT = Duration.ofDays(1);

  /** Copies the services and bounds the times. */
  public Route {
    timeout = bounded(timeout);
    targetLatency = bounded(targetLatency);
    targetGap = bounded(targetGap);
    services = List.copyOf(services);
  }

  /** Returns a route without a target for pauses, whose requests need a key if there are any. */
  public Route(
      String name,
      String host,
      String prefix,
      CallKind kind,
      boolean resumable,
      int priority,
      int maximumAttempts,
      Duration timeout,
      Duration targetLatency,
      List<WeightedService> services) {
    this(
        name,
        host,
        prefix,
        kind,
        resumable,
        priority,
        maximumAttempts,
        timeout,
        targetLatency,
        Duration.ZERO,
        false,
        services);
  }

  private static Duration bounded(Duration time) {
    Duration notNegative = time.isNegative() ? Duration.ZERO : time;
    return notNegative.compareTo(MAXIMUM_TIMEOUT) < 0 ? notNegative : MAXIMUM_TIMEOUT;
  }

  /** Returns whether a call may be retried after an attempt that may have been executed. */
  public boolean isRetryable() {
    return kind == CallKind.IDEMPOTENT || isResumableStream();
  }

  /** Returns whether its responses are streams that may go on at another endpoint. */
  public boolean isResumableStream() {
    return kind == CallKind.STREAM && resumable;
  }

  /** Selects a service by weight; {@code random} is a random number, uniform in [0, 1). */
  public ServiceId selectService(double random) {
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    double remaining = random * total;
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.getLast().service();
  }
}
