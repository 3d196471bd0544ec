package org.magnoliavale.internal.directory;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Merges readings of the list of endpoints. Not thread-safe.
 *
 * <p>An entry that disappears is gone at once, unless the list could not be read shortly before:
 * entries lapse while the platform's store is away, and are written again soon after its return.
 */
public final class EndpointDirectory {
  /** Time that endpoints have to renew their entries after the store has returned. */
  static final long RENEWAL_GRACE_MS = 2_200;

  private static final long NEVER = Long.MIN_VALUE;

  private final Map<String, DirectoryEntry> entries = new HashMap<>();
  private boolean away;
  private long returnedMs = NEVER;

  /** Notes that the list could not be read. */
  public void unavailable() {
    away = true;
  }

  /**
   * Takes in a reading made at {@code nowNanos}.
   *
   * @return the entries that count from now on
   */
  public Collection<DirectoryEntry> update(List<DirectoryEntry> reading, long nowNanos) {
    long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
    if (away) {
      away = false;
      returnedMs = nowMs;
    }
    Map<String, DirectoryEntry> read = new HashMap<>();
    reading.forEach(entry -> read.put(entry.identity().id(), entry));
    boolean graceOver = returnedMs == NEVER || nowMs - returnedMs >= RENEWAL_GRACE_MS;
    entries.keySet().removeIf(id -> graceOver && !read.containsKey(id));
    entries.putAll(read);
    return List.copyOf(entries.values());
  }
}
