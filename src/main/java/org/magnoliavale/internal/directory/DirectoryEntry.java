package org.magnoliavale.internal.directory;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * What an endpoint last said of itself.
 *
 * @param identity the incarnation
 * @param service the service that it belongs to
 * @param address where it takes calls
 * @param dataCentre where it runs
 * @param draining whether it is about to leave
 * @param slots requests that it runs at once
 * @param heartbeat counts what it has said of itself since its start
 * @param models models that it holds, by name
 * @param inMemory models whose weights lie in its main memory
 * @param onDisk models whose weights lie on its disk
 */
public record DirectoryEntry(
    EndpointIdentity identity,
    ServiceId service,
    InetSocketAddress address,
    String dataCentre,
    boolean draining,
    int slots,
    long heartbeat,
    Map<String, HeldModel> models,
    Set<String> inMemory,
    Set<String> onDisk) {
  /** Takes copies. */
  public DirectoryEntry {
    models = Map.copyOf(models);
    inMemory = Set.copyOf(inMemory);
    onDisk = Set.copyOf(onDisk);
  }

  /** Returns models as a map by their names. */
  public static Map<String, HeldModel> byName(java.util.List<HeldModel> models) {
    return models.stream()
        .collect(Collectors.toMap(HeldModel::name, Function.identity(), (first, second) -> first));
  }

  /** Returns a held model. */
  public Optional<HeldModel> model(String name) {
    return Optional.ofNullable(models.get(name));
  }
}
