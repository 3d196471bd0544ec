package org.magnoliavale.internal.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineOrder;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.ledger.Ledger;

/** Ledger changes for one atomic commit, and the commands to send after that commit succeeds. */
final class LedgerEdit {
  /** A command and its target. */
  record Outgoing(Endpoint endpoint, EngineOrder order) {}

  private final Map<EndpointId, Ledger> changed = new LinkedHashMap<>();
  private final List<Outgoing> orders = new ArrayList<>();

  boolean isEmpty() {
    return changed.isEmpty();
  }

  Map<EndpointId, Ledger> changed() {
    return changed;
  }

  List<Outgoing> orders() {
    return orders;
  }

  Ledger ledger(EndpointId endpoint, LedgerRow row) {
    return changed.getOrDefault(endpoint, row.ledger());
  }

  void put(EndpointId endpoint, Ledger ledger) {
    changed.put(endpoint, ledger);
  }

  void send(Endpoint endpoint, EngineOrder order) {
    orders.add(new Outgoing(endpoint, order));
  }

  boolean sendsTo(EndpointId endpoint) {
    return orders.stream().anyMatch(outgoing -> outgoing.endpoint().id().equals(endpoint));
  }
}
