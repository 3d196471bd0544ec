package org.magnoliavale.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** The verdict on a play of configurations, and lines that tell what happened. */
final class ConfigurationReport {
  private final int seed;
  private final ConfigurationPlay.Result result;
  private final ConfigurationCheck check;
  private final Map<Exchange, ConfigurationCheck.Fault> faults;

  ConfigurationReport(int seed, ConfigurationPlay.Result result) {
    this.seed = seed;
    this.result = result;
    this.check = new ConfigurationCheck(result);
    this.faults = check.faults(result.exchanges());
  }

  /** Returns a line for each request that shows a fault. */
  List<String> faults() {
    return faults.entrySet().stream()
        .map(entry -> entry.getValue() + " " + describe(entry.getKey()))
        .sorted()
        .toList();
  }

  void print() {
    List<String> lines = new ArrayList<>();
    lines.add(
        "configurations seed=%d requests=%d whole=%d late-cuts=%d late=%d statuses=%s faults=%s"
            .formatted(
                seed,
                result.exchanges().size(),
                result.exchanges().stream().filter(Exchange::whole).count(),
                result.exchanges().stream()
                    .filter(exchange -> !exchange.whole() && !faults.containsKey(exchange))
                    .count(),
                check.late(result.exchanges()),
                counts(result.exchanges().stream().map(Exchange::status).toList()),
                counts(List.copyOf(faults.values()))));
    lines.add("  events " + result.events() + "; changes " + result.history().changes());
    faults().forEach(line -> lines.add("  " + line));
    lines.forEach(System.out::println);
  }

  private static <T extends Comparable<T>> Map<T, Long> counts(List<T> values) {
    return new TreeMap<>(
        values.stream().collect(Collectors.groupingBy(value -> value, Collectors.counting())));
  }

  /** Writes all requests to a file beside the logs of the instances. */
  void write(Path folder) throws IOException {
    List<String> lines =
        result.exchanges().stream()
            .sorted(Comparator.comparingLong(Exchange::sent))
            .map(this::describe)
            .toList();
    Files.write(folder.resolve("requests.txt"), lines);
  }

  private String describe(Exchange exchange) {
    StringBuilder line = new StringBuilder();
    line.append(
        "%s %s %s at %d sent %d read %d end %d status %d bytes %d (%s)"
            .formatted(
                exchange.id(),
                exchange.kind(),
                exchange.kept() ? "kept" : "new",
                exchange.instance(),
                exchange.sent(),
                exchange.read(),
                exchange.end(),
                exchange.status(),
                exchange.bytes(),
                exchange.failure()));
    for (Run run : check.runsOf(exchange)) {
      line.append(
          "; ran at %s %d..%d events %d whole %b"
              .formatted(run.worker(), run.start(), run.end(), run.events(), run.whole()));
    }
    result.refusals().stream()
        .filter(refusal -> refusal.requestId().equals(exchange.id()))
        .forEach(
            refusal ->
                line.append("; refused at %s %d".formatted(refusal.worker(), refusal.time())));
    return line.toString();
  }
}
