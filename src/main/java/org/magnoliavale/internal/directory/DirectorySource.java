package org.magnoliavale.internal.directory;

/** Source of the platform's list of endpoints. */
public interface DirectorySource {
  /** Reads the list; blocks for a bounded time. */
  DirectoryReadResult read();
}
