package org.magnoliavale.internal;

import java.util.List;
import java.util.stream.IntStream;

/** Seeds of tests that play a fleet on a virtual clock. */
public final class Seeds {
  private Seeds() {}

  /** Returns the seeds from 1 to {@code -Dseeds=N}, or to {@code ofTests} if that is not set. */
  public static List<Integer> upTo(int ofTests) {
    return IntStream.rangeClosed(1, Integer.getInteger("seeds", ofTests)).boxed().toList();
  }
}
