package org.magnoliavale.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The verdict on a play, and lines that tell what happened; times are relative to the stop. */
final class PlayReport {
  private static final int OK = 200;

  private final Disruption disruption;
  private final int seed;
  private final Play.Result result;
  private final LostCheck check;

  PlayReport(Disruption disruption, int seed, Play.Result result) {
    this.disruption = disruption;
    this.seed = seed;
    this.result = result;
    this.check = new LostCheck(result.stop(), result.runs());
  }

  /** Returns a line for each request that broke the rule; an early kill excuses all. */
  List<String> lost() {
    return disruption.isKilledEarly()
        ? List.of()
        : check.lost(result.exchanges()).stream().map(this::describe).toList();
  }

  /** Returns a line for each response that ended early and cannot be told from a complete one. */
  List<String> lookingComplete() {
    return result.exchanges().stream()
        .filter(exchange -> exchange.failure().equals(Exchange.LOOKS_COMPLETE))
        .map(this::describe)
        .toList();
  }

  /** Returns the number of streams that workers broke off and callers did not get whole. */
  long brokenOff() {
    return result.exchanges().stream()
        .filter(exchange -> exchange.form().isBrokenOff())
        .filter(exchange -> exchange.status() == OK && !exchange.whole())
        .count();
  }

  void print() {
    List<String> lines = new ArrayList<>();
    List<String> lost = lost();
    lines.add(
        ("soak disruption=%s seed=%d requests=%d at-stopped=%d streams-at-stopped=%d"
                + " whole=%d ok=%d excused=%d outside=%d unread=%d broken-off=%d"
                + " looking-complete=%d lost=%d")
            .formatted(
                disruption,
                seed,
                result.exchanges().size(),
                count(false),
                count(true),
                result.exchanges().stream().filter(Exchange::whole).count(),
                result.exchanges().stream().filter(exchange -> exchange.status() == OK).count(),
                check.excused(result.exchanges()).size(),
                check.outside(result.exchanges()).size(),
                result.exchanges().stream().filter(Exchange::isUnread).count(),
                brokenOff(),
                lookingComplete().size(),
                lost.size()));
    lost.forEach(line -> lines.add("  lost " + line));
    lookingComplete().forEach(line -> lines.add("  looks complete " + line));
    check.outside(result.exchanges()).forEach(each -> lines.add("  outside " + describe(each)));
    lines.forEach(System.out::println);
  }

  /** Prints how many streams of each form were whole, cut, and looked complete. */
  void printForms() {
    FormTable.of(result).forEach(System.out::println);
  }

  /** Writes all requests at the stopped instance to a file beside the logs of the instances. */
  void write(Path folder) throws IOException {
    List<String> lines =
        result.exchanges().stream()
            .filter(exchange -> exchange.instance() == 0)
            .sorted(Comparator.comparingLong(Exchange::sent))
            .map(this::describe)
            .toList();
    Files.write(folder.resolve("requests.txt"), lines);
  }

  private long count(boolean streamsOnly) {
    return result.exchanges().stream()
        .filter(exchange -> exchange.instance() == 0 && exchange.end() >= result.stop())
        .filter(exchange -> !streamsOnly || exchange.kind().isStream())
        .count();
  }

  private String describe(Exchange exchange) {
    StringBuilder line = new StringBuilder();
    line.append(
        "%s %s %s %s sent %+d end %+d deadline %+d status %d bytes %d (%s)"
            .formatted(
                exchange.id(),
                exchange.kind(),
                exchange.form(),
                exchange.kept() ? "kept" : "new",
                sinceStop(exchange.sent()),
                sinceStop(exchange.end()),
                sinceStop(exchange.sent() + exchange.kind().timeoutMs()),
                exchange.status(),
                exchange.bytes(),
                exchange.failure()));
    for (Run run : check.runsOf(exchange)) {
      line.append(
          "; ran at %s %+d..%+d events %d whole %b"
              .formatted(
                  run.worker(),
                  sinceStop(run.start()),
                  sinceStop(run.end()),
                  run.events(),
                  run.whole()));
    }
    result.refusals().stream()
        .filter(refusal -> refusal.requestId().equals(exchange.id()))
        .forEach(
            refusal ->
                line.append(
                    "; refused at %s %+d".formatted(refusal.worker(), sinceStop(refusal.time()))));
    return line.toString();
  }

  private long sinceStop(long time) {
    return time - result.stop();
  }
}
