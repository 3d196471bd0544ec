package org.magnoliavale.internal.origin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliavale.internal.Seeds;

/** Guards against streams that go on at another version, and against refusing most take-ups. */
class StreamsOfManyVersionsTest {
  static List<Integer> seeds() {
    return Seeds.upTo(20);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void goOnAtTheirOwn(int seed) {
    SimulatedStreams fleet = new SimulatedStreams(seed);
    fleet.run(300);
    assertThat(fleet.joined()).isZero();
    assertThat(fleet.goneOn()).isGreaterThan(500);
    assertThat(fleet.unknownShare()).isLessThan(0.5);
  }
}
