package org.magnoliavale.internal.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.InstanceList;
import org.magnoliavale.internal.platform.ListedInstance;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/**
 * Registry of the fleet's instances, with one table row for each instance. {@link #read} must be
 * called by one thread only; the other methods may be called by any.
 *
 * <p>An instance rewrites its row periodically. A row whose version has not changed for the expiry
 * time belongs to an instance that has failed, and is ignored.
 */
final class InstanceRegistry implements InstanceList {
  private static final Logger LOG = Logs.of("fleet");
  private static final String ROW_KEY_PREFIX = "member/";

  /** Interval at which an instance rewrites its own row. */
  private static final long RENEWAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(12);

  /** Time after which a row with an unchanged version is ignored. */
  private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Fleet size above which rows are read less often, since every instance reads all of them. */
  private static final int SMALL_FLEET = 12;

  private static final long STARTUP_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(8);

  /**
   * Read interval during the startup period; short, so that a new instance finds its peers soon.
   */
  private static final long STARTUP_READ_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  private static final long READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final long LARGE_FLEET_STARTUP_READ_INTERVAL_NANOS =
      TimeUnit.MILLISECONDS.toNanos(2_500);

  private static final long LARGE_FLEET_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(15);

  private record VersionObservation(long version, long firstSeenNanos) {}

  private final Table table;
  private final String ownRowKey;
  private final Supplier<ListedInstance> ownEntry;
  private final LongSupplier nanoClock;
  private final long startNanos;
  private final Map<String, VersionObservation> observations = new HashMap<>();
  private volatile Optional<List<ListedInstance>> lastInstances = Optional.empty();
  private long lastReadNanos;
  private long lastWriteNanos;
  private boolean rowWritten;
  private boolean rowsRead;
  private long generation;

  /**
   * Returns a registry.
   *
   * @param ownEntry the entry of this instance, asked for at each write of its row
   */
  InstanceRegistry(
      Table table, String ownId, Supplier<ListedInstance> ownEntry, LongSupplier nanoClock) {
    this.table = table;
    this.ownRowKey = ROW_KEY_PREFIX + ownId;
    this.ownEntry = ownEntry;
    this.nanoClock = nanoClock;
    this.startNanos = nanoClock.getAsLong();
  }

  /** Returns the registry of an instance; {@code linkAddress} is where others link to it. */
  static InstanceRegistry of(GatewaySettings settings, Table table, Supplier<String> linkAddress) {
    return new InstanceRegistry(
        table, settings.instanceId(), () -> settings.listed(linkAddress.get()), System::nanoTime);
  }

  @Override
  public Optional<List<ListedInstance>> read() {
    long now = nanoClock.getAsLong();
    observeGeneration();
    if (!rowWritten || now - lastWriteNanos > RENEWAL_INTERVAL_NANOS) {
      writeOwnRow(now);
    }
    if (!rowsRead || now - lastReadNanos >= readIntervalNanos(now)) {
      readRows(now);
    }
    return lastInstances;
  }

  /** Returns the instances of the last successful read; empty before the first one. */
  Optional<List<ListedInstance>> lastInstances() {
    return lastInstances;
  }

  private long readIntervalNanos(long now) {
    boolean starting = now - startNanos < STARTUP_PERIOD_NANOS;
    if (lastInstances.map(List::size).orElse(0) <= SMALL_FLEET) {
      return starting ? STARTUP_READ_INTERVAL_NANOS : READ_INTERVAL_NANOS;
    }
    return starting ? LARGE_FLEET_STARTUP_READ_INTERVAL_NANOS : LARGE_FLEET_READ_INTERVAL_NANOS;
  }

  /** Deletes this instance's row. */
  void deregister() {
    table.commit(Transaction.builder().delete(ownRowKey).build());
  }

  /** Writes and reads the rows again if the table was restored from a copy. */
  private void observeGeneration() {
    long newGeneration = table.generation();
    if (newGeneration != generation) {
      generation = newGeneration;
      rowWritten = false;
      rowsRead = false;
    }
  }

  private void writeOwnRow(long now) {
    Transaction transaction =
        Transaction.builder().write(ownRowKey, Json.text(ownEntry.get())).build();
    if (table.commit(transaction) instanceof TableResult.Success) {
      rowWritten = true;
      lastWriteNanos = now;
    }
  }

  private void readRows(long now) {
    lastReadNanos = now;
    if (!(table.scan(ROW_KEY_PREFIX) instanceof TableResult.Success success)) {
      return;
    }
    rowsRead = true;
    List<ListedInstance> instances = new ArrayList<>();
    for (Row row : success.rows()) {
      VersionObservation observation = observations.get(row.key());
      if (observation == null || observation.version() != row.version()) {
        observation = new VersionObservation(row.version(), now);
        observations.put(row.key(), observation);
      }
      if (now - observation.firstSeenNanos() < EXPIRY_NANOS) {
        decodeInstance(row).ifPresent(instances::add);
      }
    }
    lastInstances = Optional.of(instances);
  }

  private static Optional<ListedInstance> decodeInstance(Row row) {
    try {
      return Optional.of(Json.read(row.value(), ListedInstance.class));
    } catch (IOException e) {
      LOG.warnf("Malformed instance row ignored. key=%s", row.key());
      return Optional.empty();
    }
  }
}
