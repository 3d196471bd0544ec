package org.magnoliavale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a stop that cuts off accepted requests, with instances as processes. A soak is
 * started by hand: {@code -Dsoak.seeds=1-20}, {@code -Dsoak.disruptions=NONE,PAUSES}.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AnswersCutOffAroundStopTest {
  @Nested
  class Stop {
    @TempDir private Path folder;

    static Stream<Arguments> plays() {
      return Soak.seeds()
          .boxed()
          .flatMap(
              seed ->
                  Soak.disruptions(Disruption.SIGHUP_BEFORE, Disruption.PAUSES_AND_FULL_WORKERS)
                      .map(disruption -> Arguments.of(disruption, seed)));
    }

    @ParameterizedTest
    @MethodSource("plays")
    void cutsOffNoAcceptedRequest(Disruption disruption, int seed) throws Exception {
      Play.Result result = new Play(folder, disruption, seed).run();
      PlayReport report = new PlayReport(disruption, seed, result);
      report.print();
      assertThat(report.lost()).isEmpty();
    }
  }
}
