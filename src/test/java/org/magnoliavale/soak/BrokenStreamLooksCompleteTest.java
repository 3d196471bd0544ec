package org.magnoliavale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Workers that break their streams off, beside the stop and the end of an instance that is a
 * process of its own; callers keep their connections, ask for their close, or speak HTTP/1.0.
 * {@code -Dsoak.seeds=1-20} plays more seeds.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class BrokenStreamLooksCompleteTest {
  @TempDir private Path folder;

  static IntStream seeds() {
    return Soak.seeds();
  }

  /** Guards against a stream that was reset or cut and is read as a whole one. */
  @ParameterizedTest
  @MethodSource("seeds")
  void neverToAnyCaller(int seed) throws Exception {
    Disruption disruption = Disruption.BROKEN_STREAMS;
    PlayReport report = new PlayReport(disruption, seed, new Play(folder, disruption, seed).run());
    report.print();
    assertThat(report.brokenOff()).isPositive();
    assertThat(report.lookingComplete()).isEmpty();
  }
}
