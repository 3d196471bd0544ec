package org.magnoliavale.internal.ini;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;
import org.magnoliavale.Finding;

/**
 * A parsed INI text: an ordered list of sections with line numbers.
 *
 * <p>The text is parsed by ini4j, which reports no line numbers; {@link LineIndex} determines them
 * from the same text.
 *
 * @param file name of the text, used in findings
 * @param sections the sections in the order of the text
 */
public record IniText(String file, List<IniSection> sections) {
  /** Maximum length of a text, in characters. */
  public static final int MAXIMUM_LENGTH = 4 * 1024 * 1024;

  /** Copies the sections. */
  public IniText {
    sections = List.copyOf(sections);
  }

  /** Parses {@code text}. A text that is too long or malformed yields a finding and no sections. */
  public static IniText parse(String file, String text, List<Finding> findings) {
    if (text.length() > MAXIMUM_LENGTH) {
      findings.add(new Finding(file, 0, "", "", "length in characters exceeds " + MAXIMUM_LENGTH));
      return new IniText(file, List.of());
    }
    Ini ini = new Ini();
    ini.setConfig(parserConfiguration());
    try {
      ini.load(new StringReader(text));
    } catch (IOException | RuntimeException e) {
      findings.add(new Finding(file, 0, "", "", "malformed INI text: " + e.getMessage()));
      return new IniText(file, List.of());
    }
    return new IniText(file, collectSections(ini, LineIndex.of(text)));
  }

  private static Config parserConfiguration() {
    Config config = new Config();
    config.setEscape(false);
    config.setEscapeNewline(false);
    config.setTree(false);
    config.setMultiSection(true);
    config.setMultiOption(true);
    config.setEmptyOption(true);
    config.setEmptySection(true);
    return config;
  }

  private static List<IniSection> collectSections(Ini ini, LineIndex lines) {
    List<IniSection> sections = new ArrayList<>();
    for (String heading : ini.keySet()) {
      List<Profile.Section> sameHeading = ini.getAll(heading);
      for (int occurrence = 0; occurrence < sameHeading.size(); occurrence++) {
        sections.add(section(heading, occurrence, sameHeading.get(occurrence), lines));
      }
    }
    sections.sort((left, right) -> Integer.compare(left.line(), right.line()));
    return sections;
  }

  private static IniSection section(
      String heading, int occurrence, Profile.Section section, LineIndex lines) {
    List<IniEntry> entries = new ArrayList<>();
    for (String key : section.keySet()) {
      List<String> values = section.getAll(key);
      for (int i = 0; i < values.size(); i++) {
        String value = values.get(i) == null ? "" : values.get(i).strip();
        entries.add(new IniEntry(key, value, lines.entryLine(heading, occurrence, key, i)));
      }
    }
    String trimmed = heading.strip();
    int space = trimmed.indexOf(' ');
    String kind = space < 0 ? trimmed : trimmed.substring(0, space);
    String name = space < 0 ? "" : trimmed.substring(space + 1).strip();
    int line = lines.headingLine(heading, occurrence);
    return new IniSection(kind.toLowerCase(Locale.ROOT), name, line, entries);
  }
}
