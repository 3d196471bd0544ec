package org.magnoliavale.internal.link;

import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.magnoliavale.internal.link.protocol.CrashRecord;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.ResidencyChange;

/**
 * The parts of a heartbeat that a receiver needs once and without delay: residency changes, crash
 * records, endpoints that have left and callers' keys that were taken away. Their sender repeats
 * them in its heartbeats for some time.
 */
final class HeartbeatNews {
  /** What distinguishes a crash record from an earlier one of the same request, besides its age. */
  private record Crash(ByteString fingerprint, List<String> incarnations, boolean lifted) {
    private static Crash of(CrashRecord record) {
      return new Crash(record.getFingerprint(), record.getIncarnationsList(), record.getLifted());
    }
  }

  private HeartbeatNews() {}

  /**
   * Returns whether a heartbeat has news for a receiver of an earlier one of the same sender.
   *
   * @param previous the earlier one; an empty one if there is none
   */
  static boolean isPresent(Heartbeat previous, Heartbeat heartbeat) {
    return lastChange(heartbeat) > lastChange(previous)
        || !previous.getDepartedEndpointsList().containsAll(heartbeat.getDepartedEndpointsList())
        || !previous.getRevokedKeysList().containsAll(heartbeat.getRevokedKeysList())
        || hasNew(previous.getCrashesList(), heartbeat.getCrashesList(), Crash::of);
  }

  /** Returns a heartbeat without the news that a receiver of an earlier one has. */
  static Heartbeat since(Heartbeat previous, Heartbeat heartbeat) {
    if (heartbeat.getChangesCount() == 0
        && heartbeat.getDepartedEndpointsCount() == 0
        && heartbeat.getCrashesCount() == 0) {
      return heartbeat;
    }
    long lastChange = lastChange(previous);
    return heartbeat.toBuilder()
        .clearChanges()
        .addAllChanges(
            heartbeat.getChangesList().stream()
                .filter(change -> change.getNumber() > lastChange)
                .toList())
        .clearDepartedEndpoints()
        .addAllDepartedEndpoints(
            added(
                previous.getDepartedEndpointsList(),
                heartbeat.getDepartedEndpointsList(),
                Function.identity()))
        .clearCrashes()
        .addAllCrashes(added(previous.getCrashesList(), heartbeat.getCrashesList(), Crash::of))
        .build();
  }

  /** Returns the highest number of a change; numbers grow with each change. */
  private static long lastChange(Heartbeat heartbeat) {
    return heartbeat.getChangesList().stream()
        .mapToLong(ResidencyChange::getNumber)
        .max()
        .orElse(0);
  }

  private static <T, K> boolean hasNew(List<T> previous, List<T> items, Function<T, K> key) {
    return !items.isEmpty() && !added(previous, items, key).isEmpty();
  }

  private static <T, K> List<T> added(List<T> previous, List<T> items, Function<T, K> key) {
    if (items.isEmpty()) {
      return items;
    }
    Set<K> known = new HashSet<>();
    previous.forEach(item -> known.add(key.apply(item)));
    return items.stream().filter(item -> !known.contains(key.apply(item))).toList();
  }
}
