package org.magnoliavale.internal.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.identifier.ServiceId;

/**
 * One version of the operator's configuration. Immutable.
 *
 * <pre>{@code
 * Optional<Route> route = table.match("menus.example:8080", "/notices/today");
 * }</pre>
 */
public final class RouteTable {
  private final long version;
  private final int maximumBodyBytes;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<ServiceId, ServiceSpecification> services = new HashMap<>();
  private final TenantTable tenants;
  private final Map<ServiceId, TargetRange> targets = new HashMap<>();
  private final Duration longestResumable;
  private final Set<ServiceId> resumableServices = new HashSet<>();

  /** The shortest and the longest target latency of the routes to a service. */
  private record TargetRange(Duration least, Duration greatest) {
    private static TargetRange of(Duration target) {
      return new TargetRange(target, target);
    }

    private TargetRange and(TargetRange other) {
      return new TargetRange(
          least.compareTo(other.least) < 0 ? least : other.least,
          greatest.compareTo(other.greatest) > 0 ? greatest : other.greatest);
    }
  }

  private RouteTable(
      long version,
      List<Route> routes,
      List<ServiceSpecification> services,
      TenantTable tenants,
      int maximumBodyBytes) {
    this.version = version;
    this.maximumBodyBytes = maximumBodyBytes;
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), ignored -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst = Comparator.comparingInt(route -> -route.prefix().length());
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.id(), service));
    this.tenants = tenants;
    routes.forEach(this::addTarget);
    List<Route> resumable = routes.stream().filter(Route::isResumableStream).toList();
    longestResumable =
        resumable.stream().map(Route::timeout).max(Comparator.naturalOrder()).orElse(Duration.ZERO);
    resumable.stream()
        .flatMap(route -> route.services().stream())
        .forEach(weighted -> resumableServices.add(weighted.service()));
  }

  private void addTarget(Route route) {
    if (route.targetLatency().isPositive()) {
      TargetRange target = TargetRange.of(route.targetLatency());
      route
          .services()
          .forEach(weighted -> targets.merge(weighted.service(), target, TargetRange::and));
    }
  }

  /** Returns a table of the given routes and services, without tenants. */
  public static RouteTable of(
      long version, List<Route> routes, List<ServiceSpecification> services, int maximumBodyBytes) {
    return of(version, routes, services, TenantTable.none(), maximumBodyBytes);
  }

  /** Returns a table of the given routes, services and tenants. */
  public static RouteTable of(
      long version,
      List<Route> routes,
      List<ServiceSpecification> services,
      TenantTable tenants,
      int maximumBodyBytes) {
    return new RouteTable(version, routes, services, tenants, maximumBodyBytes);
  }

  /** Returns the version number of the configuration. */
  public long version() {
    return version;
  }

  /** Returns the maximum size of a request body, in bytes. */
  public int maximumBodyBytes() {
    return maximumBodyBytes;
  }

  /** Returns all services. */
  public List<ServiceSpecification> services() {
    return List.copyOf(services.values());
  }

  /** Returns a service by its id. */
  public Optional<ServiceSpecification> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  /** Returns whether the endpoints of a service run model engines. */
  public boolean hasEngine(ServiceId id) {
    return service(id).flatMap(ServiceSpecification::engine).isPresent();
  }

  /** Returns the shortest target latency of the routes to a service; 0 if none states one. */
  public Duration leastTarget(ServiceId service) {
    TargetRange range = targets.get(service);
    return range == null ? Duration.ZERO : range.least();
  }

  /** Returns whether the routes to a service state different target latencies. */
  public boolean hasDifferentTargets(ServiceId service) {
    TargetRange range = targets.get(service);
    return range != null && !range.least().equals(range.greatest());
  }

  /** Returns whether a service has streams that may be resumed. */
  public boolean hasResumable(ServiceId service) {
    return resumableServices.contains(service);
  }

  /** Returns the longest time that a stream lasts that may be resumed; 0 if there are none. */
  public Duration longestResumable() {
    return longestResumable;
  }

  /** Returns the tenants. */
  public TenantTable tenants() {
    return tenants;
  }

  /** Returns the number of routes. */
  public int size() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Returns the route for the host of {@code authority} with the longest prefix of {@code path}.
   * The port is ignored.
   */
  public Optional<Route> match(String authority, String path) {
    List<Route> routes = routesByHost.getOrDefault(hostOf(authority), List.of());
    return routes.stream().filter(route -> path.startsWith(route.prefix())).findFirst();
  }

  private static String hostOf(String authority) {
    int colon = authority.lastIndexOf(':');
    String host = colon < 0 ? authority : authority.substring(0, colon);
    return host.toLowerCase(Locale.ROOT);
  }
}
