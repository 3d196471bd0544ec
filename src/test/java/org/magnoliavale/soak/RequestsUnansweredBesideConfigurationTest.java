package org.magnoliavale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays changes of the configuration beside silent endpoints; {@link Soak} names the seeds. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RequestsUnansweredBesideConfigurationTest {
  /** Silent endpoints beside full ones, and one that is left alone with requests that it fails. */
  private static final int SEED = 30;

  @TempDir private Path folder;

  static IntStream seeds() {
    return System.getProperty("soak.seeds") == null ? IntStream.of(SEED) : Soak.seeds();
  }

  /** Guards against requests that get no answer, or an early end, beside a configuration. */
  @ParameterizedTest
  @MethodSource("seeds")
  void answersWhileEndpointsAreSilent(int seed) throws Exception {
    ConfigurationReport report =
        new ConfigurationReport(seed, new ConfigurationPlay(folder, seed).run());
    report.print();
    assertThat(report.faults()).isEmpty();
  }
}
