package org.magnoliavale.internal.control;

/**
 * Fault rates of a {@link Fleet}.
 *
 * @param lostTableCalls fraction of table calls lost before taking effect; as many lose their
 *     answer, and as many take effect late
 * @param lostOrders fraction of commands lost; as many arrive late
 * @param orderLatenessMs maximum delay of a late command, in milliseconds
 * @param lostReports fraction of reports lost
 */
record Faults(double lostTableCalls, double lostOrders, long orderLatenessMs, double lostReports) {
  static final Faults NONE = new Faults(0, 0, 1, 0);
}
