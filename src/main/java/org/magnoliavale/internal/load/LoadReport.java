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
  private static final long HIGHEST_MICROSECONDS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

  private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
  private final Map<String, Integer> refusals = new TreeMap<>();
  private final Histogram latency = new Histogram(HIGHEST_MICROSECONDS, DIGITS);
  private final Histogram firstToken = new Histogram(HIGHEST_MICROSECONDS, DIGITS);
  private final Histogram betweenTokens = new Histogram(HIGHEST_MICROSECONDS, DIGITS);

  synchronized void add(Outcome outcome, long latencyMicroseconds) {
    outcomes.merge(outcome, 1, Integer::sum);
    if (outcome == Outcome.IN_TIME || outcome == Outcome.LATE) {
      latency.recordValue(Math.min(latencyMicroseconds, HIGHEST_MICROSECONDS));
    }
  }

  synchronized void addRefusal(String code) {
    refusals.merge(code, 1, Integer::sum);
  }

  synchronized void addFirstToken(long microseconds) {
    firstToken.recordValue(Math.min(microseconds, HIGHEST_MICROSECONDS));
  }

  synchronized void addBetweenTokens(long microseconds) {
    betweenTokens.recordValue(Math.min(microseconds, HIGHEST_MICROSECONDS));
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
    refusals.forEach(
        (code, count) ->
            text.append("refused-").append(code).append(' ').append(count).append('\n'));
    text.append(
        "share-in-time %.4f%n".formatted(count(Outcome.IN_TIME) / (double) Math.max(1, total())));
    appendQuantiles(text, "latency-ms", latency);
    appendQuantiles(text, "first-token-ms", firstToken);
    appendQuantiles(text, "between-tokens-ms", betweenTokens);
    return text.toString();
  }

  private static void appendQuantiles(StringBuilder text, String name, Histogram histogram) {
    text.append(
        "%s p50=%.2f p95=%.2f p99=%.2f%n"
            .formatted(
                name,
                histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
                histogram.getValueAtPercentile(95) / MICROSECONDS_PER_MILLISECOND,
                histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND));
  }
}
