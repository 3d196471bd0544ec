package org.magnoliavale.internal.control;

import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.ledger.Transmission;

/** Makes the transmissions of one round, each with a higher fencing number than the one before. */
final class TransmissionSource {
  /** A transmission that could not be sent within this time is not sent, in milliseconds. */
  static final long SEND_WINDOW_MS = 2_000;

  /** Bits of a fencing number that count orders within an epoch. */
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

  static EngineCommand order(String kind, String artifact, long bytes, Transmission transmission) {
    return new EngineCommand(
        transmission.id(), kind, artifact, bytes, transmission.fence(), transmission.notAfterMs());
  }
}
