package org.magnoliavale.internal.ini;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A section with its definition. The accessors give a key's value or its default; a value that has
 * a finding reads as its default, so that later checks can go on.
 *
 * @param definition what the section may hold
 * @param section what it holds
 * @param findings where findings about it go
 */
public record CheckedSection(SectionDefinition definition, IniSection section, Findings findings) {
  /** Returns the section's name, empty if it has none. */
  public String name() {
    return section.name();
  }

  /** Returns a key's value as written, or its default, or an empty text. */
  public String text(String key) {
    KeyDefinition keyDefinition =
        definition.key(key).orElseThrow(() -> new IllegalArgumentException("no such key: " + key));
    return section
        .entry(key)
        .map(IniEntry::value)
        .filter(value -> keyDefinition.type().fault(value) == null)
        .or(keyDefinition::defaultIfAny)
        .orElse("");
  }

  /** Returns a whole number, 0 if it could not be read. */
  public long number(String key) {
    String text = text(key);
    return text.isEmpty() ? 0 : Long.parseLong(text);
  }

  /** Returns a decimal number, 0 if it could not be read. */
  public double decimal(String key) {
    String text = text(key);
    return text.isEmpty() ? 0 : Double.parseDouble(text);
  }

  /** Returns a flag. */
  public boolean flag(String key) {
    return text(key).equals("true");
  }

  /** Returns the parts of a list. */
  public List<String> list(String key) {
    return Values.split(text(key));
  }

  /** Returns an address, or null if it could not be read. */
  public InetSocketAddress address(String key) {
    String text = text(key);
    return text.isEmpty() ? null : Values.address(text);
  }
}
