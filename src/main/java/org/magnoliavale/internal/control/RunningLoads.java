package org.magnoliavale.internal.control;

import java.util.Collection;
import org.magnoliavale.internal.document.Pool;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.ledger.EntryState;
import org.magnoliavale.internal.ledger.LedgerEntry;

/** Counts the loads of a pool that are in progress, of models and of adapters. */
final class RunningLoads {
  private int models;
  private int adapters;

  private RunningLoads() {}

  static RunningLoads of(Collection<LedgerRow> rows) {
    RunningLoads running = new RunningLoads();
    for (LedgerRow row : rows) {
      for (LedgerEntry entry : row.ledger().entries()) {
        if (entry.state() == EntryState.RESERVED) {
          running.add(entry.id());
        }
      }
    }
    return running;
  }

  void add(ArtifactId artifact) {
    if (artifact.adapter() == null) {
      models++;
    } else {
      adapters++;
    }
  }

  boolean hasRoom(ArtifactId artifact, Pool pool) {
    return artifact.adapter() == null
        ? models < pool.maximumConcurrentLoads()
        : adapters < pool.maximumConcurrentAdapterLoads();
  }
}
