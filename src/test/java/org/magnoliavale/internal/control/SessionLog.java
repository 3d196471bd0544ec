package org.magnoliavale.internal.control;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Records the events and actions of the cores as text, without random tokens, for golden files. */
final class SessionLog {
  private static final Pattern TOKEN = Pattern.compile("\"token\\\\?\":\\\\?\"[^\"]*\"");
  private final List<String> lines = new ArrayList<>();
  private long startMs = -1;

  void note(String line) {
    lines.add("# " + line);
  }

  void add(
      SimulatedFleet.Instance instance,
      long nowMs,
      ControlEvent event,
      List<ControlAction> actions) {
    if (startMs < 0) {
      startMs = nowMs;
    }
    boolean routine =
        event instanceof ControlEvent.Tick || event instanceof ControlEvent.ReportReceived;
    if (routine && actions.isEmpty()) {
      return;
    }
    lines.add("%6d %s <- %s".formatted(nowMs - startMs, instance.name(), eventText(event)));
    for (ControlAction action : actions) {
      lines.add("       %s -> %s".formatted(instance.name(), actionText(action)));
    }
  }

  String text() {
    return String.join("\n", lines) + "\n";
  }

  private static String eventText(ControlEvent event) {
    return switch (event) {
      case ControlEvent.DocumentInForce(var document) -> "document " + document.version();
      case ControlEvent.ReportReceived(var endpoint, var report, long ignored) ->
          "report of " + endpoint + " " + report.residents();
      case ControlEvent.TableCallCompleted(var pool, var kind, var result) ->
          "table call completed " + kind + " " + result.getClass().getSimpleName();
      case ControlEvent.CommandCompleted(var pool, var endpoint, var transmission, var result) ->
          "command completed " + transmission + " " + result;
      default -> event.toString();
    };
  }

  private static String actionText(ControlAction action) {
    return switch (action) {
      case ControlAction.CallTable(var pool, var kind, var call) ->
          "table " + kind + " " + TOKEN.matcher(call.toString()).replaceAll("token");
      case ControlAction.SendCommand(var pool, var endpoint, var command) ->
          "send " + endpoint.id() + " " + command;
      case ControlAction.Publish(var view) ->
          "publish " + new java.util.TreeMap<>(view.ready()).toString();
      case ControlAction.Log(String part, String line) -> part + ": " + line;
    };
  }
}
