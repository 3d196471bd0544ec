package org.magnoliavale.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** One seeded play without a stop: changes of the configuration beside disturbances. */
final class ConfigurationPlay {
  private static final int INSTANCES = 2;
  private static final int ROUNDS = Integer.getInteger("soak.rounds", 5);
  private static final long FIRST_ROUND_MS = 2_500;
  private static final long ROUND_MS = 2_800;
  private static final long AFTER_ROUNDS_MS = 3_500;
  private static final int DISTURBANCES_PER_ROUND = 2;
  private static final int MAXIMUM_BEFORE_CHANGE_MS = 1_300;

  private final PlayClock clock = new PlayClock();
  private final Path folder;
  private final int seed;
  private final List<String> events = new ArrayList<>();

  /** What a play has shown; {@code events} tells what was done when. */
  record Result(
      ConfigurationHistory history,
      List<Exchange> exchanges,
      List<Run> runs,
      List<Refusal> refusals,
      String events) {}

  ConfigurationPlay(Path folder, int seed) {
    this.folder = folder;
    this.seed = seed;
  }

  Result run() throws IOException, InterruptedException {
    List<InstanceProcess> instances = new ArrayList<>();
    try (SoakDeployment deployment = new SoakDeployment(clock);
        StoreLink link = new StoreLink(clock, deployment.storePort())) {
      ConfigurationHistory history = new ConfigurationHistory(clock, deployment);
      history.writeAgain(0);
      for (int index = 0; index < INSTANCES; index++) {
        instances.add(new InstanceProcess(folder, index, link.port()));
      }
      for (int index = 0; index < INSTANCES; index++) {
        Play.awaitReady(clock, index, instances.get(index));
      }
      return playRounds(deployment, link, instances, history);
    } finally {
      instances.forEach(InstanceProcess::close);
    }
  }

  private Result playRounds(
      SoakDeployment deployment,
      StoreLink link,
      List<InstanceProcess> instances,
      ConfigurationHistory history)
      throws InterruptedException {
    Random random = new Random(seed);
    List<Long> times = new ArrayList<>();
    long start = clock.now();
    for (int round = 0; round < ROUNDS; round++) {
      times.add(start + FIRST_ROUND_MS + round * ROUND_MS + random.nextInt(500));
    }
    ConfigurationTraffic traffic = new ConfigurationTraffic(clock, instances, times);
    traffic.start(seed);
    for (long time : times) {
      playRound(time, random, deployment, link, instances, history);
    }
    clock.sleepUntil(times.getLast() + AFTER_ROUNDS_MS);
    return new Result(
        history,
        traffic.end(),
        deployment.runs(),
        deployment.refusals(),
        String.join("; ", events));
  }

  private void playRound(
      long time,
      Random random,
      SoakDeployment deployment,
      StoreLink link,
      List<InstanceProcess> instances,
      ConfigurationHistory history) {
    for (int number = 0; number < DISTURBANCES_PER_ROUND; number++) {
      Disturbance[] all = Disturbance.values();
      Disturbance disturbance = all[random.nextInt(all.length)];
      clock.sleepUntil(time - random.nextInt(MAXIMUM_BEFORE_CHANGE_MS));
      events.add(clock.now() + " " + disturbance);
      disturbance.play(random, deployment, link, instances);
    }
    ConfigurationChange[] all = ConfigurationChange.values();
    ConfigurationChange change = all[random.nextInt(all.length)];
    clock.sleepUntil(time);
    events.add(clock.now() + " " + change);
    Thread.ofVirtual().start(() -> change.play(history, random));
  }
}
