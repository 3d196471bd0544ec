package org.magnoliavale.internal.gateway;

/** As {@link SimultaneousAnswersTest}, with more callers. */
class ManySimultaneousAnswersTest extends SimultaneousAnswersTest {
  @Override
  int callers() {
    return 16;
  }
}
