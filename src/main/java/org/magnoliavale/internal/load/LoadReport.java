package org.magnoliavale.internal.load;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Collects the outcomes of a load run. Latencies count from the scheduled time of a request, so
 * that they include the delay of a sender that falls behind (no coordinated omission). Thread-safe.
 */
final class LoadReport {
  private static final long MAXIMUM_MICROSECONDS = 600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

  private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
  private final Map<String, Integer> rejections = new TreeMap<>();
  private final Histogram latency = new Histogram(MAXIMUM_MICROSECONDS, SIGNIFICANT_DIGITS);
  private final Histogram timeToFirstToken =
      new Histogram(MAXIMUM_MICROSECONDS, SIGNIFICANT_DIGITS);
  private final Histogram interTokenLatency =
      new Histogram(MAXIMUM_MICROSECONDS, SIGNIFICANT_DIGITS);

  synchronized void add(Outcome outcome, long latencyMicroseconds) {
    outcomes.merge(outcome, 1, Integer::sum);
    if (outcome == Outcome.IN_TIME || outcome == Outcome.LATE) {
      latency.recordValue(Math.min(latencyMicroseconds, MAXIMUM_MICROSECONDS));
    }
  }

  synchronized void addRejection(String code) {
    rejections.merge(code, 1, Integer::sum);
  }

  synchronized void addTimeToFirstToken(long microseconds) {
    timeToFirstToken.recordValue(Math.min(microseconds, MAXIMUM_MICROSECONDS));
  }

  synchronized void addInterTokenLatency(long microseconds) {
    interTokenLatency.recordValue(Math.min(microseconds, MAXIMUM_MICROSECONDS));
  }

  synchronized int count(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0);
  }

  synchronized int total() {
    return outcomes.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the report as text, one {@code name value} pair per line. */
  synchronized String text() {
    StringBuilder text = new StringBuilder();
    text.append("requests ").append(total()).append('\n');
    for (Outcome outcome : Outcome.values()) {
      String name = outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
      text.append(name).append(' ').append(count(outcome)).append('\n');
    }
    rejections.forEach(
        (code, count) ->
            text.append("refused-").append(code).append(' ').append(count).append('\n'));
    text.append(
        "share-in-time %.4f%n".formatted(count(Outcome.IN_TIME) / (double) Math.max(1, total())));
    appendPercentiles(text, "latency-ms", latency);
    appendPercentiles(text, "first-token-ms", timeToFirstToken);
    appendPercentiles(text, "between-tokens-ms", interTokenLatency);
    return text.toString();
  }

  private static void appendPercentiles(StringBuilder text, String name, Histogram histogram) {
    text.append(
        "%s p50=%.2f p95=%.2f p99=%.2f%n"
            .formatted(
                name,
                histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
                histogram.getValueAtPercentile(95) / MICROSECONDS_PER_MILLISECOND,
                histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND));
  }
}
