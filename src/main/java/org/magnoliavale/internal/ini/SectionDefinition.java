package org.magnoliavale.internal.ini;

import java.util.List;
import java.util.Optional;

/**
 * What a kind of section may hold.
 *
 * @param kind first word of the heading
 * @param named whether the heading carries a name
 * @param description one sentence for the reference page
 * @param keys the keys it may hold
 */
public record SectionDefinition(
    String kind, boolean named, String description, List<KeyDefinition> keys) {
  /** Takes a copy of the keys. */
  public SectionDefinition {
    keys = List.copyOf(keys);
  }

  /** Returns the definition of a key. */
  public Optional<KeyDefinition> key(String name) {
    return keys.stream().filter(key -> key.name().equals(name)).findFirst();
  }
}
