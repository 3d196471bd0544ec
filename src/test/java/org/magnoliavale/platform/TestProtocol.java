package org.magnoliavale.platform;

import org.magnoliavale.internal.call.CallProtocol;

/** Gives tests of other packages the platform's headers. */
public final class TestProtocol {
  private TestProtocol() {}

  /** Returns the platform's headers. */
  public static CallProtocol create() {
    return new WorkerProtocol();
  }
}
