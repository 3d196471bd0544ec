package org.magnoliavale.internal.ini;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Parser of INI texts. A line is a heading in brackets, a comment after {@code ;} or {@code #}, or
 * an entry; {@code =} or {@code :}, whichever comes first, ends its key. Nothing is escaped, and
 * white space around headings, keys and values does not count.
 */
final class IniParser {
  /** The text has a line that is none of these, or an entry before the first heading. */
  static final class MalformedIniException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedIniException(String line, int number) {
      super("parse error (at line: " + number + "): " + line);
    }
  }

  private final List<IniSection> sections = new ArrayList<>();
  private final List<IniEntry> entries = new ArrayList<>();
  private String heading;
  private int headingLine;

  private IniParser() {}

  /** Returns the sections in the order of the text; those with the same heading are kept apart. */
  static List<IniSection> parse(String text) throws MalformedIniException {
    IniParser parser = new IniParser();
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      parser.readLine(line.strip(), number);
    }
    parser.endSection();
    return parser.sections;
  }

  private void readLine(String line, int number) throws MalformedIniException {
    if (line.isEmpty() || line.charAt(0) == ';' || line.charAt(0) == '#') {
      return;
    }
    if (line.charAt(0) == '[') {
      endSection();
      heading = readHeading(line, number);
      headingLine = number;
    } else {
      entries.add(readEntry(line, number));
    }
  }

  private static String readHeading(String line, int number) throws MalformedIniException {
    int end = line.lastIndexOf(']');
    String text = end < 0 ? "" : line.substring(1, end).strip();
    if (text.isEmpty()) {
      throw new MalformedIniException(line, number);
    }
    return text;
  }

  private IniEntry readEntry(String line, int number) throws MalformedIniException {
    int end = endOfKey(line);
    String key = line.substring(0, end).strip();
    if (heading == null || key.isEmpty()) {
      throw new MalformedIniException(line, number);
    }
    String value = end == line.length() ? "" : line.substring(end + 1).strip();
    return new IniEntry(key, value, number);
  }

  private static int endOfKey(String line) {
    for (int index = 0; index < line.length(); index++) {
      if (line.charAt(index) == '=' || line.charAt(index) == ':') {
        return index;
      }
    }
    return line.length();
  }

  private void endSection() {
    if (heading == null) {
      return;
    }
    int space = heading.indexOf(' ');
    String kind = space < 0 ? heading : heading.substring(0, space);
    String name = space < 0 ? "" : heading.substring(space + 1).strip();
    sections.add(new IniSection(kind.toLowerCase(Locale.ROOT), name, headingLine, entries));
    entries.clear();
  }
}
