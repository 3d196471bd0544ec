package org.magnoliavale.internal.origin;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.SoftwareVersion;

/**
 * The software versions of one service as this instance sees them, and the service's baseline: the
 * version at which streams began that have no record. Not thread-safe; does no I/O.
 *
 * <p>A row names the baseline for all instances. What this instance knows of the row counts until
 * the versions change.
 */
final class ServiceVersions {
  /** Time without a read of the directory after which an absence counts from the next one. */
  private static final long MAXIMUM_READ_GAP_NANOS = TimeUnit.SECONDS.toNanos(15);

  private Set<SoftwareVersion> listed = Set.of();
  private long changedNanos;
  private long updatedNanos;

  /** The version that was there first, as far as this instance knows. */
  private Optional<SoftwareVersion> first = Optional.empty();

  private Optional<VersionRow> row = Optional.empty();
  private boolean rowKnown;
  private long changes;

  /** Applies a read of the directory with all endpoints of the service. */
  void update(Collection<DirectoryEntry> entries, long nowNanos) {
    Set<SoftwareVersion> versions =
        entries.stream().map(DirectoryEntry::softwareVersion).collect(Collectors.toSet());
    boolean gap = nowNanos - updatedNanos > MAXIMUM_READ_GAP_NANOS;
    updatedNanos = nowNanos;
    if (!versions.equals(listed) || gap) {
      forgetRow();
      changedNanos = nowNanos;
    }
    listed = versions;
    if (first.isEmpty()) {
      first =
          entries.stream()
              .min(Comparator.comparingLong(entry -> entry.identity().startedAtMs()))
              .map(DirectoryEntry::softwareVersion);
    }
  }

  /** Returns when the directory was last read. */
  long updatedNanos() {
    return updatedNanos;
  }

  boolean isListed(SoftwareVersion version) {
    return listed.contains(version);
  }

  /** Returns whether what was last read of the row still counts. */
  boolean isRowKnown() {
    return rowKnown;
  }

  /** Records that the row has to be read before it counts again. */
  void forgetRow() {
    rowKnown = false;
    changes++;
  }

  /**
   * Records what was read of the row, empty if there is none.
   *
   * @param changes the number of changes before the read
   */
  void rowRead(Optional<VersionRow> read, long changes) {
    row = read;
    rowKnown = read.isPresent() && this.changes == changes;
  }

  /** Returns how often what is known of the row has ceased to count. */
  long changes() {
    return changes;
  }

  /** Returns whether another version than the first one is listed. */
  boolean hasSecond() {
    return listed.stream().anyMatch(version -> !first.equals(Optional.of(version)));
  }

  /** Returns the version that was there first, as far as this instance knows. */
  Optional<SoftwareVersion> first() {
    return first;
  }

  /** Returns the row as it was last read. */
  Optional<VersionRow> row() {
    return row;
  }

  /** Returns the baseline as far as this instance knows; empty if its version has left. */
  Optional<SoftwareVersion> baseline() {
    return row.isEmpty() ? first : row.filter(known -> !known.closed()).map(VersionRow::version);
  }

  /** Returns whether the baseline is the only version that is listed. */
  boolean isOnlyBaseline() {
    return rowKnown && baseline().map(Set::of).filter(listed::equals).isPresent();
  }

  /** Returns whether the version of the baseline is no longer listed. */
  boolean hasBaselineLeft() {
    return row.isPresent() && !listed.contains(row.get().version());
  }

  /**
   * Returns the version that is to become the baseline: the only one that is listed, once all
   * streams that began without a record have ended.
   *
   * @param lifetimeNanos longest time until a stream ends, with what instances are behind
   */
  Optional<SoftwareVersion> successor(long lifetimeNanos, long nowNanos) {
    boolean replaceable = row.isPresent() && (row.get().closed() || hasBaselineLeft());
    boolean over = listed.size() == 1 && nowNanos - changedNanos >= lifetimeNanos;
    return replaceable && over ? listed.stream().findFirst() : Optional.empty();
  }
}
