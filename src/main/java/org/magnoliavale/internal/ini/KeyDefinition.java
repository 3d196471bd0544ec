package org.magnoliavale.internal.ini;

import java.util.Optional;

/**
 * Definition of a key.
 *
 * @param name the key's name
 * @param type the type of its value
 * @param unit the unit of its value, or empty
 * @param defaultValue the value if the key is absent; null if the key is required
 * @param description one sentence for the reference page
 */
public record KeyDefinition(
    String name, ValueType type, String unit, String defaultValue, String description) {
  /** Returns a required key. */
  public static KeyDefinition required(
      String name, ValueType type, String unit, String description) {
    return new KeyDefinition(name, type, unit, null, description);
  }

  /** Returns an optional key with a default. */
  public static KeyDefinition optional(
      String name, ValueType type, String unit, String defaultValue, String description) {
    return new KeyDefinition(name, type, unit, defaultValue, description);
  }

  /** Returns the default, or empty if the key is required. */
  public Optional<String> optionalDefault() {
    return Optional.ofNullable(defaultValue);
  }
}
