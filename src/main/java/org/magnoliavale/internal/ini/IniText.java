package org.magnoliavale.internal.ini;

import java.util.List;
import org.magnoliavale.Finding;

/**
 * A parsed INI text: an ordered list of sections with line numbers.
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
    try {
      return new IniText(file, IniParser.parse(text));
    } catch (IniParser.MalformedIniException e) {
      findings.add(new Finding(file, 0, "", "", "malformed INI text: " + e.getMessage()));
      return new IniText(file, List.of());
    }
  }
}
