package org.magnoliavale.internal.directory;

import java.util.List;

/** What became of reading the list of endpoints. */
public sealed interface DirectoryReading {
  /** All well-formed entries as of one moment. */
  record Entries(List<DirectoryEntry> entries) implements DirectoryReading {
    /** Takes a copy. */
    public Entries {
      entries = List.copyOf(entries);
    }
  }

  /** The list can't be read now. */
  record Unavailable(String reason) implements DirectoryReading {}
}
