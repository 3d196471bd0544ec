package org.magnoliavale.internal.gateway;

import org.junit.jupiter.api.Tag;

/** As {@link SimultaneousAnswersTest}, with six endpoints that listen on one address. */
@Tag("known-red")
class SimultaneousAnswersOfSixEndpointsTest extends SimultaneousAnswersTest {
  @Override
  int endpointCount() {
    return 6;
  }
}
