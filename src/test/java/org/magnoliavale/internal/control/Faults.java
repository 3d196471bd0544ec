package org.magnoliavale.internal.control;

/**
 * How often things go wrong in a {@link Fleet}.
 *
 * @param lostTableCalls share of table calls lost before effect; as many after, and as many late
 * @param lostOrders share of orders lost; as many arrive late
 * @param orderLatenessMs longest delay of a late order, in milliseconds
 * @param lostReports share of reports lost
 */
record Faults(double lostTableCalls, double lostOrders, long orderLatenessMs, double lostReports) {
  static final Faults NONE = new Faults(0, 0, 1, 0);
}
