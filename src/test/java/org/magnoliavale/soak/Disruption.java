package org.magnoliavale.soak;

import java.util.List;
import java.util.Random;

/** What happens beside the stop of the instance of index 0. */
enum Disruption {
  NONE,
  SECOND_SIGNAL,
  SIGHUP_BEFORE,
  CONFIGURATIONS,
  PAUSES,
  PAUSES_AND_FULL_WORKERS,
  LATE_SIGNAL;

  private static final int MINIMUM_PAUSE_MS = 1_000;
  private static final int MAXIMUM_PAUSE_MS = 1_600;
  private static final int ROUNDS = 5;
  private static final int ROUND_MS = 1_900;

  /** Plays the disruption; the stop signal is sent at {@code stop}. */
  void play(
      PlayClock clock,
      Random random,
      long stop,
      SoakDeployment deployment,
      InstanceProcess instance) {
    switch (this) {
      case NONE -> {}
      case SECOND_SIGNAL -> {
        clock.sleepUntil(stop + random.nextInt(100, 4_000));
        instance.signal("TERM");
      }
      case SIGHUP_BEFORE -> {
        clock.sleepUntil(stop - random.nextInt(300, 4_000));
        instance.signal("HUP");
      }
      case CONFIGURATIONS -> {
        for (int round = 0; round < ROUNDS; round++) {
          clock.sleepUntil(stop - 500 + round * 1_000L + random.nextInt(900));
          deployment.changeConfiguration();
        }
      }
      case PAUSES, PAUSES_AND_FULL_WORKERS -> pauseWorkers(clock, random, stop, deployment);
      case LATE_SIGNAL -> {
        clock.sleepUntil(stop - 100);
        instance.signal("STOP");
        clock.sleepUntil(stop + random.nextInt(200, 900));
        instance.signal("CONT");
      }
    }
  }

  private void pauseWorkers(PlayClock clock, Random random, long stop, SoakDeployment deployment) {
    List<SoakWorker> workers = deployment.engines();
    for (int round = 0; round < ROUNDS; round++) {
      clock.sleepUntil(stop - ROUND_MS + (long) round * ROUND_MS);
      int paused = random.nextInt(workers.size());
      int duration = random.nextInt(MINIMUM_PAUSE_MS, MAXIMUM_PAUSE_MS);
      workers.get(paused).pause(duration);
      for (int index = 0; index < workers.size(); index++) {
        if (this == PAUSES_AND_FULL_WORKERS && index != paused) {
          workers.get(index).fill(duration);
        }
      }
    }
  }
}
