package org.magnoliavale.internal.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.ledger.Ledger;

/** Changes to ledgers that are committed together, and the orders to send once they are. */
final class LedgerEdit {
  /** An order and where it goes. */
  record Outgoing(Endpoint endpoint, EngineCommand order) {}

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

  void send(Endpoint endpoint, EngineCommand order) {
    orders.add(new Outgoing(endpoint, order));
  }

  boolean sendsTo(EndpointId endpoint) {
    return orders.stream().anyMatch(outgoing -> outgoing.endpoint().id().equals(endpoint));
  }
}
