package org.magnoliavale.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Plays stops for long, started by hand. {@code -Dsoak.seeds=1-20} and {@code
 * -Dsoak.disruptions=NONE,PAUSES} choose the plays, of the tests too; by default all disruptions
 * are played with seed 1. {@code -Dsoak.disruptions=WITHOUT_STOP} plays changes of the
 * configuration beside silent endpoints instead.
 */
public final class Soak {
  private static final String SEEDS = System.getProperty("soak.seeds", "1");
  private static final String DISRUPTIONS = System.getProperty("soak.disruptions", "");

  /** In place of disruptions beside a stop: plays without a stop. */
  private static final String CONFIGURATIONS = "WITHOUT_STOP";

  private Soak() {}

  /** Plays all seeds and disruptions; the exit status is 1 if a rule was broken. */
  public static void main(String[] arguments) throws Exception {
    if (DISRUPTIONS.equals(CONFIGURATIONS)) {
      System.exit(playConfigurations() == 0 ? 0 : 1);
    }
    int broken = 0;
    for (int seed : seeds().toArray()) {
      for (Disruption disruption : disruptions(Disruption.values()).toList()) {
        Path folder = Files.createTempDirectory("soak-" + disruption + "-" + seed + "-");
        PlayReport report =
            new PlayReport(disruption, seed, new Play(folder, disruption, seed).run());
        report.print();
        report.printForms();
        report.write(folder);
        broken += report.lost().size() + report.lookingComplete().size();
      }
    }
    System.out.println("soak broken=" + broken);
    System.exit(broken == 0 ? 0 : 1);
  }

  private static int playConfigurations() throws Exception {
    int faults = 0;
    for (int seed : seeds().toArray()) {
      Path folder = Files.createTempDirectory("soak-configurations-" + seed + "-");
      ConfigurationReport report =
          new ConfigurationReport(seed, new ConfigurationPlay(folder, seed).run());
      report.print();
      report.write(folder);
      faults += report.faults().size();
    }
    System.out.println("soak faults=" + faults);
    return faults;
  }

  static IntStream seeds() {
    String[] ends = SEEDS.split("-");
    return IntStream.rangeClosed(
        Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]));
  }

  static Stream<Disruption> disruptions(Disruption... ofTests) {
    return DISRUPTIONS.isEmpty()
        ? Stream.of(ofTests)
        : Arrays.stream(DISRUPTIONS.split(",")).map(Disruption::valueOf);
  }
}
