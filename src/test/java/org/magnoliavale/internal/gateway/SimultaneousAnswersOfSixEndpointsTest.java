package org.magnoliavale.internal.gateway;

/** As {@link SimultaneousAnswersTest}, with six endpoints that listen on one address. */
class SimultaneousAnswersOfSixEndpointsTest extends SimultaneousAnswersTest {
  @Override
  int endpointCount() {
    return 6;
  }
}
