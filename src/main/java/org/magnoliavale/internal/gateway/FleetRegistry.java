package org.magnoliavale.internal.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.InstanceList;
import org.magnoliavale.internal.platform.ListedInstance;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableAnswer;
import org.magnoliavale.internal.platform.Transaction;

/**
 * Registry of the fleet's instances, with one table row for each instance. {@link #read} is used by
 * one thread only; {@link #leave} may be called from another.
 *
 * <p>An instance rewrites its row periodically. A row whose version has not changed for the expiry
 * time belongs to an instance that has failed, and is ignored.
 */
final class FleetRegistry implements InstanceList {
  private static final Logger LOG = Logs.of("fleet");
  private static final String PREFIX = "member/";

  /** Interval at which an instance rewrites its own row. */
  private static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(12);

  /** Time after which a row with an unchanged version is ignored. */
  private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** Read interval during the start of the fleet; shorter, so that new instances are found soon. */
  private static final long EARLY_READING_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  private static final long READING_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long EARLY_NANOS = TimeUnit.SECONDS.toNanos(8);

  private record Seen(long version, long nanos) {}

  private final Table table;
  private final ListedInstance self;
  private final LongSupplier nanoClock;
  private final long startNanos;
  private final Map<String, Seen> seen = new HashMap<>();
  private Optional<List<ListedInstance>> last = Optional.empty();
  private long readNanos;
  private long writtenNanos;
  private boolean written;
  private boolean read;

  FleetRegistry(Table table, ListedInstance self, LongSupplier nanoClock) {
    this.table = table;
    this.self = self;
    this.nanoClock = nanoClock;
    this.startNanos = nanoClock.getAsLong();
  }

  @Override
  public Optional<List<ListedInstance>> read() {
    long now = nanoClock.getAsLong();
    if (!written || now - writtenNanos > RENEWAL_NANOS) {
      writeOwnRow(now);
    }
    long interval = now - startNanos < EARLY_NANOS ? EARLY_READING_NANOS : READING_NANOS;
    if (!read || now - readNanos >= interval) {
      readRows(now);
    }
    return last;
  }

  /** Deletes this instance's row. */
  void leave() {
    table.commit(Transaction.builder().delete(PREFIX + self.id()).build());
  }

  private void writeOwnRow(long now) {
    Transaction transaction =
        Transaction.builder().write(PREFIX + self.id(), Json.text(self)).build();
    if (table.commit(transaction) instanceof TableAnswer.Done) {
      written = true;
      writtenNanos = now;
    }
  }

  private void readRows(long now) {
    readNanos = now;
    if (!(table.scan(PREFIX) instanceof TableAnswer.Done done)) {
      return;
    }
    read = true;
    List<ListedInstance> instances = new ArrayList<>();
    for (Row row : done.rows()) {
      Seen before = seen.get(row.key());
      if (before == null || before.version() != row.version()) {
        before = new Seen(row.version(), now);
        seen.put(row.key(), before);
      }
      if (now - before.nanos() < EXPIRY_NANOS) {
        instance(row).ifPresent(instances::add);
      }
    }
    last = Optional.of(instances);
  }

  private static Optional<ListedInstance> instance(Row row) {
    try {
      return Optional.of(Json.read(row.value(), ListedInstance.class));
    } catch (IOException e) {
      LOG.warnf("Malformed instance row ignored. key=%s", row.key());
      return Optional.empty();
    }
  }
}
