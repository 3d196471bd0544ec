package org.magnoliavale.internal.link;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.magnoliavale.internal.platform.ListedInstance;

/**
 * Which instances an instance connects to. Immutable.
 *
 * <p>A small fleet is a full mesh. In a larger one, two instances of each data centre relay
 * heartbeats: the relays are connected to each other, and every other instance to the relays of its
 * data centre. The relays follow from the instance list by rank, without agreement: instances with
 * different views connect to different relays, and an instance relays for all that connect to it.
 * The more processor time an instance may use, the higher its rank, since relaying takes a multiple
 * of what the links of another instance take.
 *
 * @param mesh whether all instances are connected to each other
 * @param targets the instances to connect to
 * @param relays the relays of all data centres; empty in a mesh
 * @param dataCentres the data centre of each listed instance
 */
record LinkTopology(
    boolean mesh, Set<String> targets, Set<String> relays, Map<String, String> dataCentres) {
  /** Largest fleet in which all instances are connected to each other. */
  static final int MAXIMUM_MESH_SIZE = 12;

  static final int RELAYS_PER_DATA_CENTRE = 2;

  /** Equal instances are ranked by hashes of their names, so that each can have its turn. */
  private static final Comparator<ListedInstance> BY_RANK =
      Comparator.comparingInt(ListedInstance::processorPercent)
          .reversed()
          .thenComparingInt(instance -> instance.id().hashCode())
          .thenComparing(ListedInstance::id);

  /**
   * Returns the topology that one instance uses.
   *
   * @param self name of the instance
   * @param listed the instance list
   * @param reachable whether an instance accepts links, as far as this instance knows
   * @param serving whether other instances use this one as their relay
   */
  static LinkTopology of(
      String self,
      Collection<ListedInstance> listed,
      Predicate<String> reachable,
      boolean serving) {
    Set<String> others = new HashSet<>();
    listed.forEach(instance -> others.add(instance.id()));
    others.remove(self);
    Map<String, String> dataCentres = new HashMap<>();
    listed.forEach(instance -> dataCentres.put(instance.id(), instance.dataCentre()));
    if (others.size() < MAXIMUM_MESH_SIZE) {
      return new LinkTopology(true, Set.copyOf(others), Set.of(), Map.copyOf(dataCentres));
    }
    Set<String> relays = relays(listed, id -> id.equals(self) || reachable.test(id));
    boolean relaying = serving || relays.contains(self);
    Set<String> targets = new HashSet<>(relays);
    targets.remove(self);
    if (!relaying) {
      targets.removeIf(relay -> !dataCentres.get(relay).equals(dataCentres.get(self)));
    }
    return new LinkTopology(false, Set.copyOf(targets), relays, Map.copyOf(dataCentres));
  }

  /** Returns the topology of an instance that has read no instance list yet. */
  static LinkTopology empty() {
    return new LinkTopology(true, Set.of(), Set.of(), Map.of());
  }

  /** Returns whether an instance relays heartbeats, according to the instance list. */
  boolean isRelay(String instance) {
    return relays.contains(instance);
  }

  /** Returns whether two instances are listed in the same data centre. */
  boolean isSameDataCentre(String first, String second) {
    String dataCentre = dataCentres.get(first);
    return dataCentre != null && dataCentre.equals(dataCentres.get(second));
  }

  /** Returns the first usable instances of each data centre by rank. */
  private static Set<String> relays(Collection<ListedInstance> listed, Predicate<String> usable) {
    Map<String, List<ListedInstance>> byDataCentre =
        listed.stream()
            .filter(instance -> usable.test(instance.id()))
            .collect(Collectors.groupingBy(ListedInstance::dataCentre));
    return byDataCentre.values().stream()
        .flatMap(instances -> instances.stream().sorted(BY_RANK).limit(RELAYS_PER_DATA_CENTRE))
        .map(ListedInstance::id)
        .collect(Collectors.toUnmodifiableSet());
  }
}
