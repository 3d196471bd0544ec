package org.magnoliavale.internal.control;

/**
 * Fault rates of a {@link SimulatedFleet}.
 *
 * @param tableCallLossRate fraction of table calls lost before taking effect; as many take effect
 *     but lose their response, and as many take effect late
 * @param commandLossRate fraction of commands lost; as many arrive late
 * @param maximumCommandDelayMs maximum delay of a late command, in milliseconds
 * @param reportLossRate fraction of reports lost
 */
record FaultRates(
    double tableCallLossRate,
    double commandLossRate,
    long maximumCommandDelayMs,
    double reportLossRate) {
  static final FaultRates NONE = new FaultRates(0, 0, 1, 0);
}
