package org.magnoliavale.internal.control;

import java.util.Collection;
import org.magnoliavale.internal.document.Pool;
import org.magnoliavale.internal.identifier.ArtifactId;
import org.magnoliavale.internal.ledger.EntryState;
import org.magnoliavale.internal.ledger.LedgerEntry;

/** Counts the loads in progress in a pool, of models and of adapters, against its limits. */
final class LoadsInProgress {
  private int models;
  private int adapters;

  private LoadsInProgress() {}

  static LoadsInProgress of(Collection<LedgerRow> rows) {
    LoadsInProgress loads = new LoadsInProgress();
    for (LedgerRow row : rows) {
      for (LedgerEntry entry : row.ledger().entries()) {
        if (entry.state() == EntryState.RESERVED) {
          loads.add(entry.id());
        }
      }
    }
    return loads;
  }

  void add(ArtifactId artifact) {
    if (artifact.adapter() == null) {
      models++;
    } else {
      adapters++;
    }
  }

  boolean isBelowLimit(ArtifactId artifact, Pool pool) {
    return artifact.adapter() == null
        ? models < pool.maximumConcurrentLoads()
        : adapters < pool.maximumConcurrentAdapterLoads();
  }
}
