package org.magnoliavale.internal.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * Everything that may occupy one endpoint's memory.
 *
 * @param endpoint the endpoint's name
 * @param capacityBytes memory that artifacts may occupy, in bytes
 * @param entries the artifacts, each at most once
 */
public record Ledger(String endpoint, long capacityBytes, List<LedgerEntry> entries) {
  /** Takes a copy. */
  public Ledger {
    entries = List.copyOf(entries);
  }

  /** Returns the bytes that may be occupied. */
  @JsonIgnore
  public long committedBytes() {
    return entries.stream().mapToLong(LedgerEntry::bytes).sum();
  }

  /** Returns the bytes that may still be reserved; negative when the capacity was lowered. */
  @JsonIgnore
  public long freeBytes() {
    return capacityBytes - committedBytes();
  }

  /** Returns the entry of an artifact. */
  public Optional<LedgerEntry> entry(ArtifactId artifact) {
    String name = artifact.toString();
    return entries.stream().filter(entry -> entry.artifact().equals(name)).findFirst();
  }

  /**
   * Returns a copy with room for a new artifact.
   *
   * @throws IllegalStateException if its bytes do not fit
   */
  public Ledger reserve(LedgerEntry entry) {
    if (entry.bytes() > freeBytes()) {
      throw new IllegalStateException(
          entry.artifact() + " does not fit " + endpoint + "; free bytes: " + freeBytes());
    }
    return with(entry);
  }

  /** Returns a copy with an entry added or replaced. */
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

  /** Returns a copy without an artifact. */
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
