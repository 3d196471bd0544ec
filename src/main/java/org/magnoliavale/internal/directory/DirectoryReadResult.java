package org.magnoliavale.internal.directory;

import java.util.List;

/** Result of reading the list of endpoints. */
public sealed interface DirectoryReadResult {
  /**
   * A consistent snapshot of all well-formed entries.
   *
   * @param generation grows each time the list comes back from a copy
   */
  record Entries(List<DirectoryEntry> entries, long generation) implements DirectoryReadResult {
    /** Copies the list. */
    public Entries {
      entries = List.copyOf(entries);
    }
  }

  /** The list can't be read at present. */
  record Unavailable(String reason) implements DirectoryReadResult {}
}
