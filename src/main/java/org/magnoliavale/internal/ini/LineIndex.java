package org.magnoliavale.internal.ini;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Line numbers of the headings and keys of an INI text. */
final class LineIndex {
  private record Heading(int line, Map<String, List<Integer>> keys) {}

  private final Map<String, List<Heading>> headings;

  private LineIndex(Map<String, List<Heading>> headings) {
    this.headings = headings;
  }

  static LineIndex of(String text) {
    Map<String, List<Heading>> headings = new HashMap<>();
    Heading current = null;
    int number = 0;
    for (String raw : text.split("\n", -1)) {
      number++;
      String line = raw.strip();
      if (line.startsWith("[") && line.contains("]")) {
        current = new Heading(number, new HashMap<>());
        String heading = line.substring(1, line.indexOf(']')).strip();
        headings.computeIfAbsent(heading, ignored -> new ArrayList<>()).add(current);
      } else if (current != null) {
        current.keys().computeIfAbsent(keyOf(line), ignored -> new ArrayList<>()).add(number);
      }
    }
    return new LineIndex(headings);
  }

  int headingLine(String heading, int occurrence) {
    Heading found = heading(heading, occurrence);
    return found == null ? 0 : found.line();
  }

  int entryLine(String heading, int occurrence, String key, int keyOccurrence) {
    Heading found = heading(heading, occurrence);
    if (found == null) {
      return 0;
    }
    List<Integer> lines = found.keys().getOrDefault(key, List.of());
    return keyOccurrence < lines.size() ? lines.get(keyOccurrence) : found.line();
  }

  private Heading heading(String heading, int occurrence) {
    List<Heading> found = headings.getOrDefault(heading.strip(), List.of());
    if (found.isEmpty()) {
      return null;
    }
    // ini4j does not merge duplicate sections, so occurrences have the order of the text.
    return found.get(Math.min(occurrence, found.size() - 1));
  }

  private static String keyOf(String line) {
    int equals = line.indexOf('=');
    int colon = line.indexOf(':');
    int end = equals < 0 ? colon : colon < 0 ? equals : Math.min(equals, colon);
    return end < 0 ? line : line.substring(0, end).strip();
  }
}
