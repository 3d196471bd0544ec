package org.magnoliavale.internal.tenant;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;

/** The keys of one instance, with the configuration that it applies. */
final class KeyPeer {
  static final Route CLOSED = Configurations.route(false);
  static final Route OPEN = Configurations.route(true);

  private static final Duration REVOCATION_TIME = Duration.ofSeconds(5);

  private final String name;
  private final LongSupplier nanoClock;
  private final CallerKeys keys;
  private RouteTable routes;

  KeyPeer(String name, boolean strict, LongSupplier nanoClock) {
    this.name = name;
    this.nanoClock = nanoClock;
    keys = CallerKeys.of("secret", new TenantSettings(REVOCATION_TIME, strict));
  }

  /** Reads the configuration; returns whether peers should hear of keys that are gone. */
  boolean read(RouteTable configuration) {
    Optional<RouteTable> before = Optional.ofNullable(routes);
    routes = configuration;
    boolean news = keys.configurationApplied(before, configuration);
    keys.configurationRead(nanoClock.getAsLong());
    return news;
  }

  void readUnchanged() {
    keys.configurationRead(nanoClock.getAsLong());
  }

  ConfigurationStatement statement() {
    return keys.statement(nanoClock.getAsLong());
  }

  void tell(KeyPeer other) {
    other.hear(name, statement());
  }

  void hear(String peer, ConfigurationStatement statement) {
    keys.learn(peer, statement, nanoClock.getAsLong());
  }

  KeyDecision check(Route route, CallerCredential credential) {
    return keys.check(routes, route, credential, nanoClock.getAsLong());
  }

  /** Returns the tenant of a call with a key, or {@code anonymous} or how it ends. */
  String tenantOf(Route route, String key) {
    return switch (check(route, new CallerCredential.Key(key))) {
      case KeyDecision.Admitted(CallerIdentity caller) ->
          caller.knownTenant().map(tenant -> tenant.id().value()).orElse("anonymous");
      case KeyDecision.Rejected ignored -> "rejected";
      case KeyDecision.Undecided ignored -> "undecided";
    };
  }

  String tenantOf(String key) {
    return tenantOf(CLOSED, key);
  }
}
