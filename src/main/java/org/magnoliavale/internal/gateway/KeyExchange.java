package org.magnoliavale.internal.gateway;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.magnoliavale.internal.link.protocol.Heartbeat;
import org.magnoliavale.internal.link.protocol.RevokedKey;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.tenant.CallerKeys;
import org.magnoliavale.internal.tenant.ConfigurationStatement;
import org.magnoliavale.internal.tenant.KeyFingerprint;
import org.magnoliavale.internal.tenant.Revocation;

/**
 * Tells the check of callers' keys of new configurations, and its peers of keys that were taken
 * away.
 *
 * @param keys the check
 * @param announce sends heartbeats at once
 * @param nanoClock monotonic time in nanoseconds
 */
record KeyExchange(CallerKeys keys, Runnable announce, LongSupplier nanoClock)
    implements HeartbeatPart, ConfigurationListener {
  /** Longest time since a read that is believed; a longer one is as good as none. */
  private static final long MAXIMUM_AGE_MS = TimeUnit.DAYS.toMillis(1);

  private static final HexFormat HEXADECIMAL = HexFormat.of();

  /** Returns the exchange of an instance, which shares its secret with its peers. */
  static KeyExchange of(GatewaySettings settings, Runnable announce, LongSupplier nanoClock) {
    CallerKeys keys = CallerKeys.of(settings.peers().sharedKey(), settings.tenants());
    return new KeyExchange(keys, announce, nanoClock);
  }

  @Override
  public void configurationRead() {
    keys.configurationRead(nanoClock.getAsLong());
  }

  @Override
  public void configurationApplied(Optional<RouteTable> before, RouteTable applied) {
    if (keys.configurationApplied(before, applied)) {
      announce.run();
    }
  }

  @Override
  public void addTo(Heartbeat.Builder heartbeat, long nowNanos) {
    ConfigurationStatement statement = keys.statement(nowNanos);
    if (statement.version() <= 0) {
      return;
    }
    heartbeat
        .setConfigurationVersion(statement.version())
        .setConfigurationAgeMs(TimeUnit.NANOSECONDS.toMillis(statement.ageNanos()));
    for (Revocation revocation : statement.revocations()) {
      heartbeat
          .addRevokedKeysBuilder()
          .setFingerprint(ByteString.copyFrom(HEXADECIMAL.parseHex(revocation.key().value())))
          .setVersion(revocation.version());
    }
  }

  @Override
  public void apply(String peer, Heartbeat heartbeat, long nowNanos) {
    long version = Math.max(0, heartbeat.getConfigurationVersion());
    long statedAgeMs = heartbeat.getConfigurationAgeMs();
    long ageMs = statedAgeMs < 0 ? MAXIMUM_AGE_MS : Math.min(statedAgeMs, MAXIMUM_AGE_MS);
    List<Revocation> revocations =
        heartbeat.getRevokedKeysList().stream()
            .filter(key -> isPlausible(key, version))
            .limit(ConfigurationStatement.MAXIMUM_REVOCATIONS)
            .map(KeyExchange::toRevocation)
            .toList();
    keys.learn(
        peer,
        new ConfigurationStatement(version, TimeUnit.MILLISECONDS.toNanos(ageMs), revocations),
        nowNanos);
  }

  /** A peer can't have seen a key being taken away by a version that it does not apply yet. */
  private static boolean isPlausible(RevokedKey key, long peerVersion) {
    return key.getFingerprint().size() == KeyFingerprint.BYTES
        && key.getVersion() > 0
        && key.getVersion() <= peerVersion;
  }

  private static Revocation toRevocation(RevokedKey key) {
    String fingerprint = HEXADECIMAL.formatHex(key.getFingerprint().toByteArray());
    return new Revocation(new KeyFingerprint(fingerprint), key.getVersion());
  }
}
