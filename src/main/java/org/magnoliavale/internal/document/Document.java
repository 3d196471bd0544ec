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
 * A validated configuration document. Immutable and thread-safe.
 *
 * @param version version of the whole document; 0 if no document has been written
 * @param teams teams by id
 * @param dataCentres data centres by id
 * @param links links between data centres
 * @param pools pools by id
 * @param endpoints endpoints by id
 * @param models models by id
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
  /** The document of an instance that has not loaded one yet. */
  public static final Document EMPTY =
      new Document(0, Map.of(), Map.of(), List.of(), Map.of(), Map.of(), Map.of(), Map.of());

  private static final int SAME_DATA_CENTRE_LATENCY_MICROSECONDS = 50;
  private static final int UNKNOWN_LINK_LATENCY_MICROSECONDS = 100_000;

  /** Copies the collections and sorts the maps by key. */
  public Document {
    teams = new TreeMap<>(teams);
    dataCentres = new TreeMap<>(dataCentres);
    links = List.copyOf(links);
    pools = new TreeMap<>(pools);
    endpoints = new TreeMap<>(endpoints);
    models = new TreeMap<>(models);
    services = new TreeMap<>(services);
  }

  /** Returns the endpoints of a pool, sorted by id. */
  public List<Endpoint> endpointsOf(PoolId pool) {
    return endpoints.values().stream().filter(endpoint -> endpoint.pool().equals(pool)).toList();
  }

  /** Returns the models of a pool, sorted by id. */
  public List<Model> modelsOf(PoolId pool) {
    return models.values().stream().filter(model -> model.pool().equals(pool)).toList();
  }

  /** Returns the team that owns the token with this hash. */
  public Optional<Team> teamByTokenHash(String tokenHash) {
    Team found = null;
    for (Team team : teams.values()) {
      // Compares every team, so that the response time does not reveal which one matched.
      if (team.hasToken(tokenHash)) {
        found = team;
      }
    }
    return Optional.ofNullable(found);
  }

  /**
   * Returns the one-way latency between two data centres, in microseconds. Pairs without a
   * configured link get a high default.
   */
  public int oneWayMicroseconds(DataCentreId one, DataCentreId other) {
    if (one.equals(other)) {
      return SAME_DATA_CENTRE_LATENCY_MICROSECONDS;
    }
    return links.stream()
        .filter(link -> link.connects(one, other))
        .mapToInt(Link::oneWayMicroseconds)
        .min()
        .orElse(UNKNOWN_LINK_LATENCY_MICROSECONDS);
  }
}
