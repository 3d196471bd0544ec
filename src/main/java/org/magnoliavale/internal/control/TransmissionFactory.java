package org.magnoliavale.internal.control;

import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.ledger.Transmission;

/** Creates the transmissions of one commit, with strictly increasing fencing tokens. */
final class TransmissionFactory {
  /** Time after its creation at which a transmission may no longer be sent, in milliseconds. */
  static final long SEND_WINDOW_MS = 2_000;

  /** Low bits of a fencing token that count transmissions; the bits above hold the epoch. */
  static final int FENCING_COUNTER_BITS = 32;

  private final String self;
  private final long epoch;
  private final CommandTracker commands;
  private final long nowMs;
  private final long validUntilMs;

  TransmissionFactory(
      String self, long epoch, CommandTracker commands, long nowMs, long validUntilMs) {
    this.self = self;
    this.epoch = epoch;
    this.commands = commands;
    this.nowMs = nowMs;
    this.validUntilMs = validUntilMs;
  }

  long nowMs() {
    return nowMs;
  }

  Transmission next() {
    long fencingToken = (epoch << FENCING_COUNTER_BITS) + commands.nextFencingCount();
    long notAfter = Math.min(nowMs + SEND_WINDOW_MS, validUntilMs);
    return new Transmission(self + "/" + epoch + "/" + fencingToken, fencingToken, nowMs, notAfter);
  }

  static EngineCommand command(
      String kind, String artifact, long bytes, Transmission transmission) {
    return new EngineCommand(
        transmission.id(), kind, artifact, bytes, transmission.fence(), transmission.notAfterMs());
  }
}
