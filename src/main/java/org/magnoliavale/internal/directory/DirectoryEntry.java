package org.magnoliavale.internal.directory;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * An endpoint's last entry in the platform's directory.
 *
 * @param identity the endpoint's incarnation
 * @param service the service that it belongs to
 * @param softwareVersion the version of the software that it runs
 * @param address the address at which it accepts requests
 * @param dataCentre the data centre that it runs in
 * @param draining whether it is about to shut down
 * @param slots number of requests that it runs concurrently
 * @param heartbeat number of times the incarnation has written its entry
 * @param models loaded models by name
 * @param inMemory models whose weights are in its main memory
 * @param onDisk models whose weights are on its disk
 */
public record DirectoryEntry(
    EndpointIdentity identity,
    ServiceId service,
    SoftwareVersion softwareVersion,
    InetSocketAddress address,
    String dataCentre,
    boolean draining,
    int slots,
    long heartbeat,
    Map<String, LoadedModel> models,
    Set<String> inMemory,
    Set<String> onDisk) {
  /** Copies the collections. */
  public DirectoryEntry {
    models = Map.copyOf(models);
    inMemory = Set.copyOf(inMemory);
    onDisk = Set.copyOf(onDisk);
  }

  /** Returns the entry of an endpoint that does not state the version of its software. */
  public DirectoryEntry(
      EndpointIdentity identity,
      ServiceId service,
      InetSocketAddress address,
      String dataCentre,
      boolean draining,
      int slots,
      long heartbeat,
      Map<String, LoadedModel> models,
      Set<String> inMemory,
      Set<String> onDisk) {
    this(
        identity,
        service,
        SoftwareVersion.UNSTATED,
        address,
        dataCentre,
        draining,
        slots,
        heartbeat,
        models,
        inMemory,
        onDisk);
  }

  /** Returns the entry with another number of heartbeats. */
  public DirectoryEntry withHeartbeat(long newHeartbeat) {
    return new DirectoryEntry(
        identity,
        service,
        softwareVersion,
        address,
        dataCentre,
        draining,
        slots,
        newHeartbeat,
        models,
        inMemory,
        onDisk);
  }

  /** Maps models by name; of several with the same name the first counts. */
  public static Map<String, LoadedModel> byName(java.util.List<LoadedModel> models) {
    return models.stream()
        .collect(
            Collectors.toMap(LoadedModel::name, Function.identity(), (first, second) -> first));
  }

  /** Returns a loaded model; empty if the endpoint does not hold it. */
  public Optional<LoadedModel> model(String name) {
    return Optional.ofNullable(models.get(name));
  }
}
