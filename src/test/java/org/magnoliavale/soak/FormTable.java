package org.magnoliavale.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the successful streams of a play by their forms, beside the stop and apart from it. */
final class FormTable {
  /** Counts of one kind of streams. */
  private static final class Counts {
    private int whole;
    private int cut;
    private int lookingComplete;

    private void add(Exchange exchange) {
      if (exchange.whole()) {
        whole++;
      } else if (exchange.failure().equals(Exchange.LOOKS_COMPLETE)) {
        lookingComplete++;
      } else {
        cut++;
      }
    }
  }

  private static final int OK = 200;

  private FormTable() {}

  /** Returns a line for each form that the play had. */
  static List<String> of(Play.Result result) {
    Map<String, Counts> table = new TreeMap<>();
    result.exchanges().stream()
        .filter(exchange -> exchange.kind().isStream() && exchange.status() == OK)
        .forEach(
            exchange ->
                table
                    .computeIfAbsent(key(exchange, result.stop()), ignored -> new Counts())
                    .add(exchange));
    return table.entrySet().stream().map(entry -> line(entry.getKey(), entry.getValue())).toList();
  }

  private static String key(Exchange exchange, long stop) {
    Form form = exchange.form();
    boolean besideStop = exchange.instance() == 0 && exchange.end() >= stop;
    return "framing=%s ending=%s connection=%s request=%s beside=%s"
        .formatted(
            form.framing(),
            form.ending(),
            form.connection(),
            form.body().framing(),
            besideStop ? "STOP" : "NOTHING");
  }

  private static String line(String key, Counts counts) {
    return "  form %s whole=%d cut=%d looking-complete=%d"
        .formatted(key, counts.whole, counts.cut, counts.lookingComplete);
  }
}
