package org.magnoliavale.internal.gateway;

import org.magnoliavale.internal.link.protocol.Heartbeat;

/** The part of heartbeats that concerns one matter. Thread-safe; must not block. */
interface HeartbeatPart {
  /** Adds what this instance tells its peers. */
  void addTo(Heartbeat.Builder heartbeat, long nowNanos);

  /** Applies a peer's heartbeat; values that make no sense are ignored. */
  void apply(String peer, Heartbeat heartbeat, long nowNanos);
}
