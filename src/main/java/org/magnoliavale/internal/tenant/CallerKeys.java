package org.magnoliavale.internal.tenant;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.Tenant;

/**
 * Decides by its key whether a call may pass, and which tenant it belongs to. Thread-safe.
 *
 * <p>A key is valid if the applied configuration has it, unless a peer with a newer one has said
 * that it was taken away. Peers are told of such keys as long as one of them applies an older
 * version. Times are in nanoseconds of a monotonic clock.
 *
 * <pre>{@code
 * CallerKeys keys = CallerKeys.of(sharedSecret, TenantSettings.none());
 * keys.configurationApplied(Optional.empty(), routes, nowNanos);
 * KeyDecision decision = keys.check(routes, route, new CallerCredential.Key("k-1"), nowNanos);
 * }</pre>
 */
public final class CallerKeys {
  private static final Logger LOG = Logs.of("tenant");

  private final KeyFingerprints fingerprints;
  private final boolean strict;
  private final ConfigurationFreshness freshness;

  /** When the configuration was last read by this instance, whatever its peers have read. */
  private final ConfigurationFreshness ownReads;

  private final RevokedKeys revoked = new RevokedKeys();
  private final PeerVersions peers = new PeerVersions();
  private volatile long version;

  private CallerKeys(String sharedSecret, TenantSettings settings) {
    fingerprints = new KeyFingerprints(sharedSecret);
    strict = settings.strictRevocation();
    Duration limit = settings.revocationTime();
    freshness = new ConfigurationFreshness(limit);
    ownReads = new ConfigurationFreshness(limit);
  }

  /** Returns the keys of an instance; {@code sharedSecret} is the same at all instances. */
  public static CallerKeys of(String sharedSecret, TenantSettings settings) {
    return new CallerKeys(sharedSecret, settings);
  }

  /** Returns the keys of an instance without peers. */
  public static CallerKeys ofSingleInstance() {
    return of("single", TenantSettings.none());
  }

  /** Decides whether a call to a route may pass. */
  public KeyDecision check(
      RouteTable routes, Route route, CallerCredential credential, long nowNanos) {
    if (routes.tenants().isEmpty()) {
      return new KeyDecision.Admitted(new CallerIdentity.Unchecked());
    }
    return switch (credential) {
      case CallerCredential.Absent() -> withoutKey(route, "no key");
      case CallerCredential.Malformed() -> withoutKey(route, "several keys, or an empty one");
      case CallerCredential.Key(String key) -> checkKey(routes, route, key, nowNanos);
    };
  }

  private static KeyDecision withoutKey(Route route, String reason) {
    return route.open()
        ? new KeyDecision.Admitted(new CallerIdentity.Anonymous())
        : new KeyDecision.Rejected(reason);
  }

  private KeyDecision checkKey(RouteTable routes, Route route, String key, long nowNanos) {
    Optional<Tenant> tenant = routes.tenants().ofKey(key);
    boolean takenAway = tenant.isPresent() && isRevoked(key, routes.version());
    if (takenAway) {
      return withoutKey(route, "key taken away by a newer configuration");
    }
    if (!route.open() && strict && freshness.isStale(nowNanos)) {
      return new KeyDecision.Undecided("the configuration may be out of date");
    }
    if (tenant.isPresent()) {
      return new KeyDecision.Admitted(new CallerIdentity.Known(tenant.get()));
    }
    if (!route.open() && peers.highest(nowNanos) > routes.version()) {
      return new KeyDecision.Undecided("key unknown, and another instance has newer keys");
    }
    return withoutKey(route, "key unknown");
  }

  private boolean isRevoked(String key, long configurationVersion) {
    return !revoked.isEmpty() && revoked.includes(fingerprints.of(key), configurationVersion);
  }

  /** Records that the configuration was read and that the applied version is the newest. */
  public void configurationRead(long nowNanos) {
    ownReads.confirm(nowNanos);
    freshness.confirm(nowNanos);
  }

  /**
   * Records that a version of the configuration is applied; returns whether it takes keys away,
   * which peers should hear of.
   */
  public boolean configurationApplied(Optional<RouteTable> before, RouteTable applied) {
    Set<String> present = keys(applied);
    Set<String> removed = new HashSet<>(before.map(CallerKeys::keys).orElse(Set.of()));
    removed.removeAll(present);
    if (applied.tenants().isEmpty()) {
      // Calls need no key any more, whichever they have.
      removed.clear();
      revoked.forgetSeen();
    }
    version = applied.version();
    boolean backAgain = revoked.hasSeen();
    revoked.applied(
        applied.version(), fingerprints(removed), backAgain ? fingerprints(present) : Set.of());
    if (!removed.isEmpty()) {
      LOG.infof("Keys taken away. version=%d keys=%d", applied.version(), removed.size());
    }
    return !removed.isEmpty();
  }

  private static Set<String> keys(RouteTable routes) {
    return routes.tenants().tenants().stream()
        .flatMap(tenant -> tenant.keys().stream())
        .collect(Collectors.toSet());
  }

  private Set<KeyFingerprint> fingerprints(Set<String> keys) {
    return keys.stream().map(fingerprints::of).collect(Collectors.toSet());
  }

  /** Returns what peers are told; keys that were taken away only while a peer may have them. */
  public ConfigurationStatement statement(long nowNanos) {
    OptionalLong lowest = peers.lowest(nowNanos);
    List<Revocation> revocations =
        lowest.isPresent() ? revoked.seenAfter(lowest.getAsLong()) : List.of();
    return new ConfigurationStatement(version, ownReads.ageNanos(nowNanos), revocations);
  }

  /** Applies what a peer says of its configuration. */
  public void learn(String peer, ConfigurationStatement statement, long nowNanos) {
    peers.heard(peer, statement.version(), nowNanos);
    if (revoked.learn(statement.revocations(), version)) {
      LOG.infof(
          "Keys taken away, as a peer says. peer=%s version=%d own-version=%d keys=%d",
          peer, statement.version(), version, statement.revocations().size());
    }
    // A peer with another version says nothing of the keys that only this one has.
    if (statement.version() == version && version > 0) {
      freshness.confirm(nowNanos - statement.ageNanos());
    }
  }
}
