package org.magnoliavale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
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
  private static final String SEEDS = System.getProperty("soak.seeds", "");
  private static final String DISRUPTIONS = System.getProperty("soak.disruptions", "");

  private static Stream<Arguments> plays(Disruption... ofTests) {
    List<Disruption> disruptions =
        DISRUPTIONS.isEmpty()
            ? List.of(ofTests)
            : Arrays.stream(DISRUPTIONS.split(",")).map(Disruption::valueOf).toList();
    return seeds()
        .boxed()
        .flatMap(seed -> disruptions.stream().map(kind -> Arguments.of(kind, seed)));
  }

  private static IntStream seeds() {
    if (SEEDS.isEmpty()) {
      return IntStream.of(1);
    }
    String[] ends = SEEDS.split("-");
    return IntStream.rangeClosed(
        Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]));
  }

  @Nested
  class Stop {
    @TempDir private Path folder;

    static Stream<Arguments> plays() {
      return AnswersCutOffAroundStopTest.plays(
          Disruption.SIGHUP_BEFORE, Disruption.PAUSES_AND_FULL_WORKERS);
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
