package org.magnoliavale.internal.ini;

import java.util.List;
import java.util.Optional;

/**
 * A section of an INI text.
 *
 * <p>A section's heading is {@code [kind]} or {@code [kind name]}.
 *
 * @param kind first word of the heading
 * @param name rest of the heading, or empty
 * @param line line number of the heading, from 1
 * @param entries the entries of the section
 */
public record IniSection(String kind, String name, int line, List<IniEntry> entries) {
  /** Copies the entries. */
  public IniSection {
    entries = List.copyOf(entries);
  }

  /** Returns the heading's text without brackets. */
  public String heading() {
    return name.isEmpty() ? kind : kind + " " + name;
  }

  /** Returns the first entry with this key. */
  public Optional<IniEntry> entry(String key) {
    return entries.stream().filter(entry -> entry.key().equals(key)).findFirst();
  }
}
