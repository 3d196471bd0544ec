package org.magnoliavale.internal.origin;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.call.StreamOrigin;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.logging.Logs;

/**
 * The baselines of all services: the versions at which streams began that have no record, as rows
 * name them for all instances. Thread-safe; blocking calls run on an executor, unless said.
 *
 * <p>The holder of the command lease, or any instance whose streams need it, names the first one.
 * Once its version has left, the holder closes it, so that it stands for nothing that begins later
 * if the version comes back. A version that has then been alone in service for as long as any
 * stream lives takes its place.
 */
final class Baselines {
  private static final Logger LOG = Logs.of("call");

  /** Time by which instances may be behind each other, and callers late, at the end of a stream. */
  static final Duration LIFETIME_MARGIN = Duration.ofSeconds(30);

  /** Age up to which a read of the directory is certain to show all versions that streams have. */
  private static final long MAXIMUM_DIRECTORY_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Interval at which a baseline that is no longer in service is read again. */
  private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Reads of a baseline in a row while versions change. */
  private static final int MAXIMUM_READS = 3;

  private final StreamRecords records;
  private final Executor executor;
  private final BooleanSupplier leaseHeld;
  private final ResumableStreams streams;
  private final LongSupplier nanoClock;
  private final Map<ServiceId, TrackedService> services = new HashMap<>();
  private long generation;

  /** When records may have been lost, because the table came back from a copy. */
  private Optional<Long> lostNanos = Optional.empty();

  /** What is kept of one service. */
  private static final class TrackedService {
    final ServiceVersions versions = new ServiceVersions();

    boolean refreshing;
    long refreshedNanos;

    /** When a successor took the place of a baseline, until records from before are deleted. */
    Optional<Long> replacedNanos = Optional.empty();
  }

  Baselines(
      StreamRecords records,
      Executor executor,
      BooleanSupplier leaseHeld,
      ResumableStreams streams,
      LongSupplier nanoClock) {
    this.records = records;
    this.executor = executor;
    this.leaseHeld = leaseHeld;
    this.streams = streams;
    this.nanoClock = nanoClock;
  }

  /** Applies a successful read of the directory. */
  void update(Collection<DirectoryEntry> entries) {
    long now = nanoClock.getAsLong();
    Map<ServiceId, List<DirectoryEntry>> byService =
        entries.stream().collect(Collectors.groupingBy(DirectoryEntry::service));
    List<ServiceId> due;
    synchronized (this) {
      observeGeneration(now);
      byService.keySet().forEach(this::tracked);
      services.forEach(
          (service, tracked) ->
              tracked.versions.update(byService.getOrDefault(service, List.of()), now));
      due = services.keySet().stream().filter(service -> isRefreshDue(service, now)).toList();
    }
    due.forEach(service -> refresh(service, false));
    takeReplaced(now).forEach((service, row) -> executor.execute(() -> sweep(service, row)));
  }

  /** Returns the services whose records from before their baseline are of no use any more. */
  private synchronized Map<ServiceId, VersionRow> takeReplaced(long nowNanos) {
    Map<ServiceId, VersionRow> replaced = new HashMap<>();
    services.forEach(
        (service, tracked) -> {
          boolean ended =
              tracked.replacedNanos.filter(at -> nowNanos - at >= lifetimeNanos()).isPresent();
          if (ended) {
            tracked.replacedNanos = Optional.empty();
            tracked.versions.row().ifPresent(row -> replaced.put(service, row));
          }
        });
    return leaseHeld.getAsBoolean() ? replaced : Map.of();
  }

  /** Deletes records that killed instances have left. */
  private void sweep(ServiceId service, VersionRow baseline) {
    try {
      records.deleteBefore(service, baseline.rowVersion());
    } catch (RuntimeException e) {
      LOG.errorf(e, "Records of streams could not be deleted. service=%s", service);
    }
  }

  private void observeGeneration(long nowNanos) {
    long newest = records.generation();
    if (newest == generation) {
      return;
    }
    if (generation != 0) {
      lostNanos = Optional.of(nowNanos);
      services.values().forEach(tracked -> tracked.versions.forgetRow());
    }
    generation = newest;
  }

  private TrackedService tracked(ServiceId service) {
    return services.computeIfAbsent(service, ignored -> new TrackedService());
  }

  private boolean isRefreshDue(ServiceId service, long nowNanos) {
    TrackedService tracked = tracked(service);
    boolean outdated =
        needsChange(tracked.versions, nowNanos)
            && nowNanos - tracked.refreshedNanos >= READ_INTERVAL_NANOS;
    return streams.hasResumable(service) && (outdated || !tracked.versions.isRowKnown());
  }

  /** Returns whether the baseline has to be closed or replaced. */
  private boolean needsChange(ServiceVersions versions, long nowNanos) {
    boolean open = versions.row().filter(row -> !row.closed()).isPresent();
    return open && versions.hasBaselineLeft()
        || versions.successor(lifetimeNanos(), nowNanos).isPresent();
  }

  /** Returns the time after which no stream lives that began before, and no instance is behind. */
  private long lifetimeNanos() {
    return streams.longestResumable().plus(LIFETIME_MARGIN).toNanos();
  }

  /** Returns whether the row counts as it was last read. */
  synchronized boolean isKnown(ServiceId service) {
    return tracked(service).versions.isRowKnown();
  }

  /** Returns whether a version is the baseline as far as this instance knows. */
  synchronized boolean isBaseline(ServiceId service, SoftwareVersion version) {
    return tracked(service).versions.baseline().equals(Optional.of(version));
  }

  /** Returns whether a version is the baseline, as the row says. */
  synchronized boolean isKnownBaseline(ServiceId service, SoftwareVersion version) {
    return isKnown(service) && isBaseline(service, version);
  }

  /** Returns the baseline if its version is listed. */
  synchronized Optional<SoftwareVersion> listedBaseline(ServiceId service) {
    ServiceVersions versions = tracked(service).versions;
    return versions.baseline().filter(versions::isListed);
  }

  /** Returns the origin of a stream that has no record; blocks. */
  StreamOrigin findUnrecorded(ServiceId service) {
    if (mayHaveLostRecords(service)) {
      return new StreamOrigin.Unknown("its record may have been lost");
    }
    // A baseline that is in service is never replaced.
    boolean certain = isKnown(service) && listedBaseline(service).isPresent();
    if (!certain
        && refreshNow(service, true) instanceof StreamRecords.Found.Unavailable(String reason)) {
      return new StreamOrigin.Unavailable(reason);
    }
    return ofBaseline(service);
  }

  private synchronized StreamOrigin ofBaseline(ServiceId service) {
    ServiceVersions versions = tracked(service).versions;
    if (versions.row().isPresent() && versions.hasBaselineLeft()) {
      return new StreamOrigin.Gone(versions.row().get().version());
    }
    return versions
        .baseline()
        .<StreamOrigin>map(StreamOrigin.Known::new)
        .orElseGet(() -> new StreamOrigin.Unknown("it has no record"));
  }

  private synchronized boolean mayHaveLostRecords(ServiceId service) {
    boolean recently =
        lostNanos.filter(lost -> nanoClock.getAsLong() - lost < lifetimeNanos()).isPresent();
    return recently && !tracked(service).versions.isOnlyBaseline();
  }

  /** Returns the origin of a stream that no attempt is named for. */
  synchronized StreamOrigin ofUnnamed(ServiceId service) {
    ServiceVersions versions = tracked(service).versions;
    boolean onlyVersion =
        versions.isOnlyBaseline()
            && nanoClock.getAsLong() - versions.updatedNanos() < MAXIMUM_DIRECTORY_AGE_NANOS;
    return onlyVersion
        ? new StreamOrigin.Known(versions.baseline().orElseThrow())
        : new StreamOrigin.Unknown("no attempt is named");
  }

  /**
   * Reads the baseline, and names or changes it if that is due.
   *
   * @param streamsWait whether a stream is about to begin or go on
   */
  void refresh(ServiceId service, boolean streamsWait) {
    synchronized (this) {
      TrackedService tracked = tracked(service);
      if (tracked.refreshing) {
        return;
      }
      tracked.refreshing = true;
    }
    executor.execute(
        () -> {
          try {
            refreshNow(service, streamsWait);
          } catch (RuntimeException e) {
            LOG.errorf(e, "The baseline of a service could not be read. service=%s", service);
          } finally {
            endRefresh(service);
          }
        });
  }

  private synchronized void endRefresh(ServiceId service) {
    tracked(service).refreshing = false;
  }

  private StreamRecords.Found refreshNow(ServiceId service, boolean streamsWait) {
    StreamRecords.Found found = refreshOnce(service, streamsWait);
    for (int read = 1; read < MAXIMUM_READS && needsAnotherRead(service, found); read++) {
      found = refreshOnce(service, streamsWait);
    }
    return found;
  }

  private synchronized boolean needsAnotherRead(ServiceId service, StreamRecords.Found found) {
    return found instanceof StreamRecords.Found.Read(var row)
        && row.isPresent()
        && !tracked(service).versions.isRowKnown();
  }

  private StreamRecords.Found refreshOnce(ServiceId service, boolean streamsWait) {
    long changes;
    synchronized (this) {
      changes = tracked(service).versions.changes();
    }
    StreamRecords.Found found = records.readBaseline(service);
    if (found instanceof StreamRecords.Found.Read(var row)) {
      Optional<VersionRow> change = changeOf(service, row, streamsWait);
      if (change.isPresent()) {
        VersionRow changed = change.get();
        found = records.writeBaseline(service, changed.version(), changed.closed(), row);
      }
    }
    if (found instanceof StreamRecords.Found.Read(var row)) {
      apply(service, row, changes);
    }
    return found;
  }

  /** Returns the row that has to be written in the place of the one that was read. */
  private synchronized Optional<VersionRow> changeOf(
      ServiceId service, Optional<VersionRow> read, boolean streamsWait) {
    ServiceVersions versions = tracked(service).versions;
    if (read.isEmpty()) {
      boolean due = streamsWait || leaseHeld.getAsBoolean() || versions.hasSecond();
      return due ? versions.first().map(Baselines::open) : Optional.empty();
    }
    if (!leaseHeld.getAsBoolean() || !read.equals(versions.row())) {
      return Optional.empty();
    }
    Optional<VersionRow> successor =
        versions.successor(lifetimeNanos(), nanoClock.getAsLong()).map(Baselines::open);
    return successor.or(() -> closed(versions));
  }

  private static VersionRow open(SoftwareVersion version) {
    return new VersionRow(version, false, 0);
  }

  /** Returns the row closed, if it is open and its version has left. */
  private static Optional<VersionRow> closed(ServiceVersions versions) {
    return versions
        .row()
        .filter(row -> !row.closed() && versions.hasBaselineLeft())
        .map(row -> new VersionRow(row.version(), true, 0));
  }

  private void apply(ServiceId service, Optional<VersionRow> row, long changes) {
    synchronized (this) {
      TrackedService tracked = tracked(service);
      tracked.refreshedNanos = nanoClock.getAsLong();
      if (tracked.versions.row().filter(before -> isReplacedBy(before, row)).isPresent()) {
        tracked.replacedNanos = Optional.of(tracked.refreshedNanos);
      }
      tracked.versions.rowRead(row, changes);
    }
    row.ifPresent(
        read -> LOG.infof("Baseline of streams. service=%s version=%s", service, read.version()));
  }

  private static boolean isReplacedBy(VersionRow before, Optional<VersionRow> after) {
    return after.filter(row -> !row.closed()).isPresent()
        && (before.closed() || !before.version().equals(after.get().version()));
  }
}
