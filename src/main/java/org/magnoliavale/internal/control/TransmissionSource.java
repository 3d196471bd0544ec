package org.magnoliavale.internal.control;

import org.magnoliavale.internal.engine.EngineOrder;
import org.magnoliavale.internal.ledger.Transmission;

/** Creates the transmissions of one commit, with strictly increasing fencing tokens. */
final class TransmissionSource {
  /** Time after its creation at which a transmission may no longer be sent, in milliseconds. */
  static final long SEND_WINDOW_MS = 2_000;

  /** Low bits of a fencing token that count transmissions; the bits above hold the epoch. */
  static final int FENCE_COUNT_BITS = 32;

  private final String self;
  private final long epoch;
  private final OrderBook orders;
  private final long nowMs;
  private final long validUntilMs;

  TransmissionSource(String self, long epoch, OrderBook orders, long nowMs, long validUntilMs) {
    this.self = self;
    this.epoch = epoch;
    this.orders = orders;
    this.nowMs = nowMs;
    this.validUntilMs = validUntilMs;
  }

  long nowMs() {
    return nowMs;
  }

  Transmission next() {
    long fence = (epoch << FENCE_COUNT_BITS) + orders.nextFenceCount();
    long notAfter = Math.min(nowMs + SEND_WINDOW_MS, validUntilMs);
    return new Transmission(self + "/" + epoch + "/" + fence, fence, nowMs, notAfter);
  }

  static EngineOrder order(String kind, String artifact, long bytes, Transmission transmission) {
    return new EngineOrder(
        transmission.id(), kind, artifact, bytes, transmission.fence(), transmission.notAfterMs());
  }
}
