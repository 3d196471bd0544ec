package org.magnoliavale.internal.tenant;

import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

/** The versions of the configuration that live peers apply. Thread-safe. */
final class PeerVersions {
  /** Time after which a silent peer no longer counts; relayed heartbeats may be seconds apart. */
  private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(5);

  private record Heard(long version, long nanos) {}

  private final Map<String, Heard> peers = new ConcurrentHashMap<>();

  /** Records the version of a peer; 0 for a peer that has none. */
  void heard(String peer, long version, long nowNanos) {
    peers.values().removeIf(heard -> isExpired(heard, nowNanos));
    if (version > 0) {
      peers.put(peer, new Heard(version, nowNanos));
    }
  }

  /** Returns the lowest version; empty if no peer has one. */
  OptionalLong lowest(long nowNanos) {
    return versions(nowNanos).min();
  }

  /** Returns the highest version, or 0 if no peer has one. */
  long highest(long nowNanos) {
    return versions(nowNanos).max().orElse(0);
  }

  private LongStream versions(long nowNanos) {
    return peers.values().stream()
        .filter(heard -> !isExpired(heard, nowNanos))
        .mapToLong(Heard::version);
  }

  private static boolean isExpired(Heard heard, long nowNanos) {
    return nowNanos - heard.nanos() > EXPIRY_NANOS;
  }
}
