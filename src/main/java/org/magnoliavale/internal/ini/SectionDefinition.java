package org.magnoliavale.internal.ini;

import java.util.List;
import java.util.Optional;

/**
 * Definition of a kind of section.
 *
 * @param kind first word of the heading
 * @param named whether the heading contains a name
 * @param description one sentence for the reference page
 * @param keys definitions of the permitted keys
 */
public record SectionDefinition(
    String kind, boolean named, String description, List<KeyDefinition> keys) {
  /** Copies the keys. */
  public SectionDefinition {
    keys = List.copyOf(keys);
  }

  /** Returns the definition of a key. */
  public Optional<KeyDefinition> key(String name) {
    return keys.stream().filter(key -> key.name().equals(name)).findFirst();
  }
}
