package org.magnoliavale.internal.engine;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A transmission of an order that an engine has received and dealt with.
 *
 * @param id the transmission's id
 * @param outcome {@code done}, {@code running}, {@code failed} or {@code refused}
 */
public record SettledTransmission(String id, String outcome) {
  /** Tells whether the engine is finished with it. */
  @JsonIgnore
  public boolean isFinal() {
    return !"running".equals(outcome);
  }
}
