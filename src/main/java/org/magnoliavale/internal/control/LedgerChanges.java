package org.magnoliavale.internal.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.ledger.Ledger;

/** Ledger changes for one atomic commit, and the commands to send after that commit succeeds. */
final class LedgerChanges {
  /** A command and its target. */
  record OutgoingCommand(Endpoint endpoint, EngineCommand command) {}

  private final Map<EndpointId, Ledger> changed = new LinkedHashMap<>();
  private final List<OutgoingCommand> commands = new ArrayList<>();

  boolean isEmpty() {
    return changed.isEmpty();
  }

  Map<EndpointId, Ledger> changed() {
    return changed;
  }

  List<OutgoingCommand> commands() {
    return commands;
  }

  Ledger ledger(EndpointId endpoint, LedgerRow row) {
    return changed.getOrDefault(endpoint, row.ledger());
  }

  void put(EndpointId endpoint, Ledger ledger) {
    changed.put(endpoint, ledger);
  }

  void addCommand(Endpoint endpoint, EngineCommand command) {
    commands.add(new OutgoingCommand(endpoint, command));
  }

  boolean hasCommandFor(EndpointId endpoint) {
    return commands.stream().anyMatch(outgoing -> outgoing.endpoint().id().equals(endpoint));
  }
}
