package org.magnoliavale.internal.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.magnoliavale.internal.identifier.DataCentreId;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.identifier.ModelId;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.identifier.TeamId;

/**
 * The configuration document that is in force: checked, immutable, and safe to share.
 *
 * @param version version of the whole document; 0 when there is none yet
 * @param teams teams by name
 * @param dataCentres data centres by name
 * @param links links between data centres
 * @param pools pools by name
 * @param endpoints endpoints by name
 * @param models models by name
 * @param services plain services by name
 */
public record Document(
    long version,
    Map<TeamId, Team> teams,
    Map<DataCentreId, DataCentre> dataCentres,
    List<Link> links,
    Map<PoolId, Pool> pools,
    Map<EndpointId, Endpoint> endpoints,
    Map<ModelId, Model> models,
    Map<String, PlainService> services) {
  /** The document of an instance that has read none yet. */
  public static final Document EMPTY =
      new Document(0, Map.of(), Map.of(), List.of(), Map.of(), Map.of(), Map.of(), Map.of());

  private static final int SAME_DATA_CENTRE_MICROSECONDS = 50;
  private static final int UNKNOWN_LINK_MICROSECONDS = 100_000;

  /** Takes sorted copies. */
  public Document {
    teams = new TreeMap<>(teams);
    dataCentres = new TreeMap<>(dataCentres);
    links = List.copyOf(links);
    pools = new TreeMap<>(pools);
    endpoints = new TreeMap<>(endpoints);
    models = new TreeMap<>(models);
    services = new TreeMap<>(services);
  }

  /** Returns the endpoints of a pool in the order of their names. */
  public List<Endpoint> endpointsOf(PoolId pool) {
    return endpoints.values().stream().filter(endpoint -> endpoint.pool().equals(pool)).toList();
  }

  /** Returns the models of a pool in the order of their names. */
  public List<Model> modelsOf(PoolId pool) {
    return models.values().stream().filter(model -> model.pool().equals(pool)).toList();
  }

  /** Returns the team that a token hash belongs to. */
  public Optional<Team> teamOfToken(String tokenHash) {
    Team found = null;
    for (Team team : teams.values()) {
      // Every team is compared, so that the time taken says nothing about which one matched.
      if (team.hasToken(tokenHash)) {
        found = team;
      }
    }
    return Optional.ofNullable(found);
  }

  /** Returns the one-way latency between two data centres, in microseconds. */
  public int oneWayMicroseconds(DataCentreId one, DataCentreId other) {
    if (one.equals(other)) {
      return SAME_DATA_CENTRE_MICROSECONDS;
    }
    return links.stream()
        .filter(link -> link.joins(one, other))
        .mapToInt(Link::oneWayMicroseconds)
        .min()
        .orElse(UNKNOWN_LINK_MICROSECONDS);
  }
}
