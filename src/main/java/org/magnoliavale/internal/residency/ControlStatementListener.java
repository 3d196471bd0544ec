package org.magnoliavale.internal.residency;

import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.EndpointStatement;

/** Receives what endpoints say of themselves in answers to commands and with reports. */
public interface ControlStatementListener {
  /** Called with each answer that certainly comes from an incarnation. */
  void heard(EndpointIdentity endpoint, EndpointStatement statement);
}
