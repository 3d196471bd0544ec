package org.magnoliavale.internal.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * An artifact that may occupy an endpoint's memory.
 *
 * @param artifact text form of the artifact
 * @param bytes memory kept for it, in bytes
 * @param state what the bytes stand for
 * @param loads load transmissions that may still arrive
 * @param unload the latest unload transmission, or null
 */
public record LedgerEntry(
    String artifact, long bytes, EntryState state, List<Transmission> loads, Transmission unload) {
  /** Takes a copy. */
  public LedgerEntry {
    loads = List.copyOf(loads);
  }

  /** Returns an entry for a load that is about to be sent. */
  public static LedgerEntry reserved(ArtifactId artifact, long bytes, Transmission load) {
    return new LedgerEntry(artifact.toString(), bytes, EntryState.RESERVED, List.of(load), null);
  }

  /** Returns an entry for an artifact that a report shows and no entry accounts for. */
  public static LedgerEntry found(ArtifactId artifact, long bytes) {
    return new LedgerEntry(artifact.toString(), bytes, EntryState.RESIDENT, List.of(), null);
  }

  /** Returns the artifact. */
  @JsonIgnore
  public ArtifactId id() {
    return ArtifactId.parse(artifact);
  }

  /** Returns a copy in another state. */
  public LedgerEntry withState(EntryState newState) {
    return new LedgerEntry(artifact, bytes, newState, loads, unload);
  }

  /** Returns a copy, reserved again, with one more load that may arrive. */
  public LedgerEntry withLoad(Transmission load) {
    List<Transmission> all = new ArrayList<>(loads);
    all.add(load);
    return new LedgerEntry(artifact, bytes, EntryState.RESERVED, all, unload);
  }

  /** Returns a copy that is to go. */
  public LedgerEntry withUnload(Transmission newUnload) {
    return new LedgerEntry(artifact, bytes, EntryState.RELEASING, loads, newUnload);
  }

  /** Returns a copy without the loads that are settled. */
  public LedgerEntry withoutLoads(Predicate<Transmission> settled) {
    List<Transmission> open = loads.stream().filter(settled.negate()).toList();
    return new LedgerEntry(artifact, bytes, state, open, unload);
  }
}
