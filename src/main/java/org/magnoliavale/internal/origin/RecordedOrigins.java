package org.magnoliavale.internal.origin;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.call.StreamOrigin;
import org.magnoliavale.internal.call.StreamOrigins;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.Table;

/**
 * Keeps in the platform's table at which software version streams began. Thread-safe; its own
 * blocking calls run on an executor.
 *
 * <p>A stream that begins at its service's baseline, which a row names, has no record; that is
 * every stream as long as one version is in service. One that begins at another version, or while
 * the baseline is not certain, has a record before its caller gets the first event. So a stream
 * without a record began at the baseline, also if every instance that knew it has ended. A baseline
 * whose version has left is closed: from then on all streams have records, and later a version that
 * is alone in service takes its place.
 *
 * <p>If nothing can be recorded, streams begin at the baseline only. If nothing can be read, none
 * is taken up.
 */
public final class RecordedOrigins implements StreamOrigins {
  private static final Logger LOG = Logs.of("call");

  private final StreamRecords records;
  private final Baselines baselines;
  private final Executor executor;
  private final LongSupplier nanoClock;
  private volatile boolean writable = true;

  private RecordedOrigins(
      StreamRecords records, Baselines baselines, Executor executor, LongSupplier nanoClock) {
    this.records = records;
    this.baselines = baselines;
    this.executor = executor;
    this.nanoClock = nanoClock;
  }

  /**
   * Returns origins that are kept in a table of their own.
   *
   * @param executor runs blocking calls of the table
   * @param leaseHeld whether this instance holds the command lease; it replaces old baselines
   * @param streams the streams that the current configuration allows to be resumed
   * @param nanoClock monotonic time in nanoseconds
   */
  public static RecordedOrigins of(
      Table table,
      Executor executor,
      BooleanSupplier leaseHeld,
      ResumableStreams streams,
      LongSupplier nanoClock) {
    StreamRecords records = new StreamRecords(table, executor, nanoClock);
    Baselines baselines = new Baselines(records, executor, leaseHeld, streams, nanoClock);
    return new RecordedOrigins(records, baselines, executor, nanoClock);
  }

  /** Applies a successful read of the directory. */
  public void update(Collection<DirectoryEntry> entries) {
    writable = true;
    baselines.update(entries);
    records.deleteExpired();
  }

  @Override
  public Optional<SoftwareVersion> onlyBeginning(ServiceId service) {
    return writable ? Optional.empty() : baselines.listedBaseline(service);
  }

  @Override
  public Recording begin(
      ServiceId service,
      String attemptId,
      SoftwareVersion version,
      Duration lifetime,
      Consumer<Boolean> onRecorded) {
    // Without an id nobody can name the stream.
    boolean needed = !attemptId.isEmpty() && !isImplied(service, version);
    if (!baselines.isKnown(service)) {
      baselines.refresh(service, true);
    }
    if (!needed) {
      return Recording.NOT_NEEDED;
    }
    long expiryNanos = nanoClock.getAsLong() + lifetime.plus(Baselines.LIFETIME_MARGIN).toNanos();
    records.write(
        service,
        attemptId,
        version,
        expiryNanos,
        written -> {
          if (!written) {
            writable = false;
          }
          onRecorded.accept(written);
        });
    return Recording.PENDING;
  }

  /** Returns whether a stream without a record counts as one that began at a version. */
  private boolean isImplied(ServiceId service, SoftwareVersion version) {
    if (writable) {
      return baselines.isKnownBaseline(service, version);
    }
    // A baseline that has left is closed, and then a stream without a record can't be taken up.
    return baselines.isBaseline(service, version) || baselines.listedBaseline(service).isEmpty();
  }

  @Override
  public void find(ServiceId service, String attemptId, Consumer<StreamOrigin> onFound) {
    if (attemptId.isEmpty()) {
      onFound.accept(baselines.ofUnnamed(service));
      return;
    }
    executor.execute(() -> onFound.accept(findRecorded(service, attemptId)));
  }

  private StreamOrigin findRecorded(ServiceId service, String attemptId) {
    try {
      return switch (records.readStream(attemptId)) {
        case StreamRecords.Found.Read(var row) when row.isPresent() ->
            new StreamOrigin.Known(row.get().version());
        case StreamRecords.Found.Read ignored -> baselines.findUnrecorded(service);
        case StreamRecords.Found.Unavailable(String reason) -> new StreamOrigin.Unavailable(reason);
      };
    } catch (RuntimeException e) {
      LOG.errorf(e, "The origin of a stream could not be read.");
      return new StreamOrigin.Unavailable(e.toString());
    }
  }
}
