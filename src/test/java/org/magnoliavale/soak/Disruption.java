package org.magnoliavale.soak;

import java.util.List;
import java.util.Random;
import java.util.function.Function;

/** What happens beside the stop of the instance of index 0. */
enum Disruption {
  NONE,
  SECOND_SIGNAL,
  SIGHUP_BEFORE,
  SIGHUP_AND_PAUSES,
  CONFIGURATIONS,
  PAUSES,
  PAUSES_AND_FULL_WORKERS,
  RESTORED_STORE,

  /** Workers break many streams off, and the instance is killed soon after its stop signal. */
  BROKEN_STREAMS,

  /** Holds the process up as a busy machine may; the rules excuse a freeze, so no test plays it. */
  LATE_SIGNAL;

  private static final long EARLY_KILL_MS = 3_000;
  private static final int MINIMUM_PAUSE_MS = 1_000;
  private static final int LONG_PAUSE_MS = 1_400;
  private static final int MAXIMUM_PAUSE_MS = 1_600;
  private static final long MAXIMUM_FILL_DELAY_MS = 1_000;
  private static final long MINIMUM_FILL_DELAY_MS = 600;
  private static final int ROUNDS = 4;
  private static final int ROUND_MS = 1_900;

  /** Returns the time from the stop signal until the process is killed. */
  long killDelayMs() {
    return isKilledEarly() ? EARLY_KILL_MS : InstanceProcess.GRACE_PERIOD_S * 1_000L;
  }

  /** Returns whether the process is killed within its grace period, so that requests are lost. */
  boolean isKilledEarly() {
    return this == BROKEN_STREAMS;
  }

  /** Returns the source of the forms of requests. */
  Function<Random, Form> forms() {
    return this == BROKEN_STREAMS ? Form::draw : Form::drawRequest;
  }

  /** Plays the disruption; the stop signal is sent at {@code stop}. */
  void play(
      PlayClock clock,
      Random random,
      long stop,
      SoakDeployment deployment,
      InstanceProcess instance) {
    switch (this) {
      case NONE, BROKEN_STREAMS -> {}
      case SECOND_SIGNAL -> {
        clock.sleepUntil(stop + random.nextInt(100, 4_000));
        instance.signal("TERM");
      }
      case SIGHUP_BEFORE -> reload(clock, random, stop, instance);
      case SIGHUP_AND_PAUSES -> {
        reload(clock, random, stop, instance);
        pauseWorkers(clock, random, stop, deployment);
      }
      case CONFIGURATIONS -> {
        for (int round = 0; round <= ROUNDS; round++) {
          clock.sleepUntil(stop - 500 + round * 1_000L + random.nextInt(900));
          deployment.changeConfiguration();
        }
      }
      case PAUSES, PAUSES_AND_FULL_WORKERS -> pauseWorkers(clock, random, stop, deployment);
      case RESTORED_STORE -> {
        clock.sleepUntil(stop - random.nextInt(1_000, 4_000));
        deployment.copyStore();
        clock.sleepUntil(stop - 500);
        deployment.changeConfiguration();
        clock.sleepUntil(stop + random.nextInt(-400, 3_000));
        deployment.restoreStore();
      }
      case LATE_SIGNAL -> {
        clock.sleepUntil(stop - 100);
        instance.signal("STOP");
        clock.sleepUntil(stop + random.nextInt(200, 900));
        instance.signal("CONT");
      }
    }
  }

  private static void reload(PlayClock clock, Random random, long stop, InstanceProcess instance) {
    clock.sleepUntil(stop - random.nextInt(300, 4_000));
    instance.signal("HUP");
  }

  private void pauseWorkers(PlayClock clock, Random random, long stop, SoakDeployment deployment) {
    List<SoakWorker> workers = deployment.engines();
    for (int round = 0; round < ROUNDS; round++) {
      clock.sleepUntil(stop + (long) round * ROUND_MS);
      int paused = random.nextInt(workers.size());
      // Only a longer pause makes an instance move streams, which full workers then refuse.
      int minimum = this == PAUSES_AND_FULL_WORKERS ? LONG_PAUSE_MS : MINIMUM_PAUSE_MS;
      int duration = random.nextInt(minimum, MAXIMUM_PAUSE_MS);
      workers.get(paused).pause(duration);
      for (int index = 0; index < workers.size(); index++) {
        if (this == PAUSES_AND_FULL_WORKERS && index != paused) {
          long from = clock.now() + random.nextLong(MINIMUM_FILL_DELAY_MS, MAXIMUM_FILL_DELAY_MS);
          workers.get(index).fill(from, from + duration);
        }
      }
    }
  }
}
