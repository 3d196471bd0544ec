package org.magnoliavale.internal.directory;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Merges successive reads of the list of endpoints. Not thread-safe.
 *
 * <p>An entry that disappears is removed at once, unless the list could not be read shortly before:
 * entries expire while the platform's store is unavailable, and endpoints rewrite them soon after
 * it has recovered.
 */
public final class EndpointDirectory {
  /** Time that endpoints have to renew their entries after the store has recovered. */
  static final long RENEWAL_GRACE_MS = 2_200;

  private static final long NEVER = Long.MIN_VALUE;

  private final Map<String, DirectoryEntry> entries = new HashMap<>();
  private boolean storeUnavailable;
  private long recoveredMs = NEVER;

  /** Records that the list could not be read. */
  public void markUnavailable() {
    storeUnavailable = true;
  }

  /**
   * Applies a successful read of the list.
   *
   * @param nowNanos when the list was read, on a monotonic clock
   * @return the entries now in effect
   */
  public Collection<DirectoryEntry> update(List<DirectoryEntry> listed, long nowNanos) {
    long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNanos);
    if (storeUnavailable) {
      storeUnavailable = false;
      recoveredMs = nowMs;
    }
    Map<String, DirectoryEntry> current = new HashMap<>();
    listed.forEach(entry -> current.put(entry.identity().id(), entry));
    boolean graceElapsed = recoveredMs == NEVER || nowMs - recoveredMs >= RENEWAL_GRACE_MS;
    entries.keySet().removeIf(id -> graceElapsed && !current.containsKey(id));
    entries.putAll(current);
    return List.copyOf(entries.values());
  }
}
