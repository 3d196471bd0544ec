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
 * Plays stops of instances that are processes of their own; {@link Soak} names the properties that
 * choose other plays.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AnswersCutOffAroundStopTest {
  @TempDir private Path folder;

  private static Stream<Arguments> plays(Disruption... ofTests) {
    return Soak.seeds()
        .boxed()
        .flatMap(seed -> Soak.disruptions(ofTests).map(each -> Arguments.of(each, seed)));
  }

  private PlayReport play(Disruption disruption, int seed) throws Exception {
    PlayReport report = new PlayReport(disruption, seed, new Play(folder, disruption, seed).run());
    report.print();
    return report;
  }

  @Nested
  class Signals {
    static Stream<Arguments> plays() {
      return AnswersCutOffAroundStopTest.plays(Disruption.SIGHUP_BEFORE);
    }

    /** Guards against an earlier SIGHUP that ends the process and cuts off its streams. */
    @ParameterizedTest
    @MethodSource("plays")
    void loseNoAcceptedRequest(Disruption disruption, int seed) throws Exception {
      assertThat(play(disruption, seed).lost()).isEmpty();
    }
  }

  @Nested
  class RestoredStore {
    static Stream<Arguments> plays() {
      return AnswersCutOffAroundStopTest.plays(Disruption.RESTORED_STORE);
    }

    /** Guards against requests that are lost when the store comes back from a copy. */
    @ParameterizedTest
    @MethodSource("plays")
    void losesNoAcceptedRequest(Disruption disruption, int seed) throws Exception {
      assertThat(play(disruption, seed).lost()).isEmpty();
    }
  }

  @Nested
  class FullEndpoints {
    static Stream<Arguments> plays() {
      return AnswersCutOffAroundStopTest.plays(Disruption.PAUSES_AND_FULL_WORKERS);
    }

    /** Guards against a stream that is moved from a pausing endpoint to one that refuses it. */
    @ParameterizedTest
    @MethodSource("plays")
    void loseNoAcceptedRequest(Disruption disruption, int seed) throws Exception {
      assertThat(play(disruption, seed).lost()).isEmpty();
    }
  }

  @Nested
  class LongStreams {
    static Stream<Arguments> plays() {
      return AnswersCutOffAroundStopTest.plays(Disruption.NONE);
    }

    /** Guards against a stream that is cut off by the end of the process and looks complete. */
    @ParameterizedTest
    @MethodSource("plays")
    void doNotLookCompleteWhenCutOff(Disruption disruption, int seed) throws Exception {
      assertThat(play(disruption, seed).lookingComplete()).isEmpty();
    }
  }
}
