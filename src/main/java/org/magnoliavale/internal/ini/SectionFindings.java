package org.magnoliavale.internal.ini;

import java.util.List;
import org.magnoliavale.Finding;

/** Collects the findings about one section, each with its location in the text. */
public final class SectionFindings {
  private final String file;
  private final IniSection section;
  private final List<Finding> collected;

  SectionFindings(String file, IniSection section, List<Finding> collected) {
    this.file = file;
    this.section = section;
    this.collected = collected;
  }

  /** Adds a finding about the whole section. */
  public void add(String message) {
    collected.add(new Finding(file, section.line(), section.heading(), "", message));
  }

  /** Adds a finding about one key. */
  public void addAtKey(String key, String message) {
    int line = section.entry(key).map(IniEntry::line).orElse(section.line());
    addAtKey(line, key, message);
  }

  void addAtKey(int line, String key, String message) {
    collected.add(new Finding(file, line, section.heading(), key, message));
  }
}
