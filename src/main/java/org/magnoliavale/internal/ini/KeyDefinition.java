package org.magnoliavale.internal.ini;

import java.util.Optional;

/**
 * What a key may hold.
 *
 * @param name the key's name
 * @param type the type of its value
 * @param unit the unit of its value, or empty
 * @param defaultValue the value when the key is absent; null when the key must be given
 * @param description one sentence for the reference page
 */
public record KeyDefinition(
    String name, ValueType type, String unit, String defaultValue, String description) {
  /** Returns a key that must be given. */
  public static KeyDefinition required(
      String name, ValueType type, String unit, String description) {
    return new KeyDefinition(name, type, unit, null, description);
  }

  /** Returns a key with a default. */
  public static KeyDefinition optional(
      String name, ValueType type, String unit, String defaultValue, String description) {
    return new KeyDefinition(name, type, unit, defaultValue, description);
  }

  /** Returns the default, absent if the key must be given. */
  public Optional<String> defaultIfAny() {
    return Optional.ofNullable(defaultValue);
  }
}
