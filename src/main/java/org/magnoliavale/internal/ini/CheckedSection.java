package org.magnoliavale.internal.ini;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A parsed section with its definition. The accessors return the value of a key or its default. An
 * invalid value reads as the default, so that further checks can still run.
 *
 * @param definition definition of this kind of section
 * @param section the parsed section
 * @param findings collects the findings about the section
 */
public record CheckedSection(
    SectionDefinition definition, IniSection section, SectionFindings findings) {
  /** Returns the section's name, or an empty string. */
  public String name() {
    return section.name();
  }

  /** Returns the text of a key's value, its default, or an empty string. */
  public String text(String key) {
    KeyDefinition keyDefinition =
        definition.key(key).orElseThrow(() -> new IllegalArgumentException("no such key: " + key));
    return section
        .entry(key)
        .map(IniEntry::value)
        .filter(value -> keyDefinition.type().validationError(value) == null)
        .filter(value -> !isDefault(keyDefinition.type(), value))
        .or(keyDefinition::optionalDefault)
        .orElse("");
  }

  private static boolean isDefault(ValueType type, String value) {
    return type instanceof ValueType.OrDefault && value.isEmpty();
  }

  /** Returns a whole number, or 0 if the key has neither a valid value nor a default. */
  public long number(String key) {
    String text = text(key);
    return text.isEmpty() ? 0 : Long.parseLong(text);
  }

  /** Returns a decimal number, or 0 if the key has neither a valid value nor a default. */
  public double decimal(String key) {
    String text = text(key);
    return text.isEmpty() ? 0 : Double.parseDouble(text);
  }

  /** Returns a boolean value. */
  public boolean flag(String key) {
    return text(key).equals("true");
  }

  /** Returns the elements of a comma-separated list. */
  public List<String> list(String key) {
    return Values.split(text(key));
  }

  /** Returns an address, or null if the key has neither a valid value nor a default. */
  public InetSocketAddress address(String key) {
    String text = text(key);
    return text.isEmpty() ? null : Values.address(text);
  }
}
