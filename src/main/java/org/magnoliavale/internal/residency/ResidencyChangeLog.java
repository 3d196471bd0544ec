package org.magnoliavale.internal.residency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.dispatch.Artifact;

/** Recent changes made by commands, published to all instances. Thread-safe. */
public final class ResidencyChangeLog {
  /**
   * A change of what an endpoint holds.
   *
   * @param number grows with every change, across lease holders too
   * @param endpointId the endpoint
   * @param artifact the artifact
   * @param held whether the artifact is now loaded, or else unloaded
   */
  public record Change(long number, String endpointId, Artifact artifact, boolean held) {}

  private record Entry(Change change, long nanos) {}

  /** Time for which a change is published; the endpoint's own entry shows it by then. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final Deque<Entry> entries = new ArrayDeque<>();

  /** Adds a change. */
  public synchronized void add(Change change, long nowNanos) {
    entries.addLast(new Entry(change, nowNanos));
  }

  /** Removes expired changes and returns the others, the oldest first. */
  public synchronized List<Change> changes(long nowNanos) {
    while (!entries.isEmpty() && nowNanos - entries.getFirst().nanos() > RETENTION_NANOS) {
      entries.removeFirst();
    }
    List<Change> changes = new ArrayList<>();
    entries.forEach(entry -> changes.add(entry.change()));
    return changes;
  }
}
