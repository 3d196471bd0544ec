package org.magnoliavale.internal.ledger;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.magnoliavale.internal.identifier.ArtifactId;

/**
 * An artifact that may occupy an endpoint's memory, and the transmissions that may change that.
 *
 * @param artifact text form of the artifact
 * @param bytes memory reserved for it, in bytes
 * @param state whether it is being loaded, resident or being unloaded
 * @param loads load transmissions that are not known to be settled
 * @param unload the latest unload transmission, or null
 */
public record LedgerEntry(
    String artifact, long bytes, EntryState state, List<Transmission> loads, Transmission unload) {
  /** Copies the list of loads. */
  public LedgerEntry {
    loads = List.copyOf(loads);
  }

  /** Returns a {@code RESERVED} entry for a load that will be sent after the commit. */
  public static LedgerEntry reserved(ArtifactId artifact, long bytes, Transmission load) {
    return new LedgerEntry(artifact.toString(), bytes, EntryState.RESERVED, List.of(load), null);
  }

  /** Returns a {@code RESIDENT} entry for an artifact that a report shows without an entry. */
  public static LedgerEntry discovered(ArtifactId artifact, long bytes) {
    return new LedgerEntry(artifact.toString(), bytes, EntryState.RESIDENT, List.of(), null);
  }

  /** Returns the artifact in parsed form. */
  @JsonIgnore
  public ArtifactId id() {
    return ArtifactId.parse(artifact);
  }

  /** Returns a copy in another state. */
  public LedgerEntry withState(EntryState newState) {
    return new LedgerEntry(artifact, bytes, newState, loads, unload);
  }

  /** Returns a {@code RESERVED} copy with one more load transmission. */
  public LedgerEntry withLoad(Transmission load) {
    List<Transmission> all = new ArrayList<>(loads);
    all.add(load);
    return new LedgerEntry(artifact, bytes, EntryState.RESERVED, all, unload);
  }

  /** Returns a {@code RELEASING} copy with a new unload transmission. */
  public LedgerEntry withUnload(Transmission newUnload) {
    return new LedgerEntry(artifact, bytes, EntryState.RELEASING, loads, newUnload);
  }

  /** Returns a copy without the settled loads. */
  public LedgerEntry withoutLoads(Predicate<Transmission> settled) {
    List<Transmission> open = loads.stream().filter(settled.negate()).toList();
    return new LedgerEntry(artifact, bytes, state, open, unload);
  }
}
