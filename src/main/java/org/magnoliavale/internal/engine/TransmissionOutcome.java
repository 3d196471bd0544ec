package org.magnoliavale.internal.engine;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A transmission of a command that an engine has received, with its outcome so far.
 *
 * @param id the transmission's id
 * @param outcome {@code done}, {@code running}, {@code failed} or {@code refused}
 */
public record TransmissionOutcome(String id, String outcome) {
  /** Returns whether the engine has finished processing the transmission. */
  @JsonIgnore
  public boolean isFinal() {
    return !"running".equals(outcome);
  }
}
