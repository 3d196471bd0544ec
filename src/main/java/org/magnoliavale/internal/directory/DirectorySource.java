package org.magnoliavale.internal.directory;

/** Reads the platform's list of endpoints. */
public interface DirectorySource {
  /** Reads the list; blocks for a bounded time. */
  DirectoryReading read();
}
