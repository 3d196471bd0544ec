package org.magnoliavale.internal.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * Account of all artifacts that may occupy one endpoint's memory.
 *
 * @param endpoint the endpoint's name
 * @param capacityBytes memory that artifacts may occupy, in bytes
 * @param entries the artifacts, each at most once
 */
public record Ledger(String endpoint, long capacityBytes, List<LedgerEntry> entries) {
  /** Copies the list of entries. */
  public Ledger {
    entries = List.copyOf(entries);
  }

  /** Returns the memory that all entries together may occupy, in bytes. */
  @JsonIgnore
  public long allocatedBytes() {
    return entries.stream().mapToLong(LedgerEntry::bytes).sum();
  }

  /**
   * Returns the memory still free, in bytes; negative if the capacity was lowered below the use.
   */
  @JsonIgnore
  public long freeBytes() {
    return capacityBytes - allocatedBytes();
  }

  /** Returns the entry of an artifact, if there is one. */
  public Optional<LedgerEntry> entry(ArtifactId artifact) {
    String name = artifact.toString();
    return entries.stream().filter(entry -> entry.artifact().equals(name)).findFirst();
  }

  /**
   * Returns a copy with an entry added, after checking that its bytes are free.
   *
   * @throws IllegalStateException if the entry needs more than the free bytes
   */
  public Ledger reserve(LedgerEntry entry) {
    if (entry.bytes() > freeBytes()) {
      throw new IllegalStateException(
          entry.artifact() + " does not fit at " + endpoint + "; free bytes: " + freeBytes());
    }
    return with(entry);
  }

  /** Returns a copy with the entry added, or replacing the one of the same artifact. */
  public Ledger with(LedgerEntry entry) {
    List<LedgerEntry> changed = new ArrayList<>(entries.size() + 1);
    boolean replaced = false;
    for (LedgerEntry old : entries) {
      boolean same = old.artifact().equals(entry.artifact());
      changed.add(same ? entry : old);
      replaced |= same;
    }
    if (!replaced) {
      changed.add(entry);
    }
    return new Ledger(endpoint, capacityBytes, changed);
  }

  /** Returns a copy without the entry of an artifact. */
  public Ledger without(String artifact) {
    return new Ledger(
        endpoint,
        capacityBytes,
        entries.stream().filter(entry -> !entry.artifact().equals(artifact)).toList());
  }

  /** Returns a copy with another capacity. */
  public Ledger withCapacity(long bytes) {
    return new Ledger(endpoint, bytes, entries);
  }
}
