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

  /** Bits by which the fencing token is shifted in change numbers, so that they always grow. */
  private static final int FENCING_TOKEN_SHIFT = 24;

  private final Deque<Entry> entries = new ArrayDeque<>();
  private long fencingToken;
  private long count;

  /** Numbers changes from now on so that they follow those of all lower fencing tokens. */
  synchronized void startNumbering(long newFencingToken) {
    fencingToken = newFencingToken;
    count = 0;
  }

  /** Adds a change of what an endpoint holds. */
  synchronized void add(String endpointId, Artifact artifact, boolean held, long nowNanos) {
    count++;
    long number = (fencingToken << FENCING_TOKEN_SHIFT) + count;
    entries.addLast(new Entry(new Change(number, endpointId, artifact, held), nowNanos));
  }

  /** Adds models that an endpoint has loaded; returns whether there are any. */
  synchronized boolean addLoaded(String endpointId, List<Artifact> loaded, long nowNanos) {
    loaded.forEach(artifact -> add(endpointId, artifact, true, nowNanos));
    return !loaded.isEmpty();
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
