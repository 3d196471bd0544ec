package org.magnoliavale.platform;

import org.magnoliavale.internal.call.CallProtocol;

/** Provides the platform's header protocol to tests of other packages. */
public final class TestProtocol {
  private TestProtocol() {}

  /** Returns the platform's header protocol. */
  public static CallProtocol create() {
    return new WorkerProtocol();
  }
}
