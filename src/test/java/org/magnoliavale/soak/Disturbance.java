package org.magnoliavale.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** What happens beside a change of the configuration; all endpoints stay sound. */
enum Disturbance {
  NONE,
  ONE_SILENT,
  SEVERAL_SILENT,
  ALL_SILENT,
  SILENT_AND_FULL,
  ONE_LEAVES,
  SIGHUP,
  STORE_SLOW,
  STORE_LOSES_ANSWERS;

  private static final int MINIMUM_SILENCE_MS = 900;
  private static final int MAXIMUM_SILENCE_MS = 1_600;
  private static final long LEAVING_MS = 2_500;
  private static final int MAXIMUM_DELAY_MS = 900;
  private static final long STORE_MS = 1_500;

  /** Plays the disturbance from now on; returns without waiting for its end. */
  void play(
      Random random, SoakDeployment deployment, StoreLink link, List<InstanceProcess> instances) {
    List<SoakWorker> workers = new ArrayList<>(deployment.plain());
    workers.addAll(deployment.engines());
    Collections.shuffle(workers, random);
    int silence = random.nextInt(MINIMUM_SILENCE_MS, MAXIMUM_SILENCE_MS);
    switch (this) {
      case NONE -> {}
      case ONE_SILENT -> workers.getFirst().pause(silence);
      case SEVERAL_SILENT -> workers.subList(0, 4).forEach(worker -> worker.pause(silence));
      case ALL_SILENT -> workers.forEach(worker -> worker.pause(silence));
      case SILENT_AND_FULL -> {
        workers.subList(0, 2).forEach(worker -> worker.pause(silence));
        workers.subList(2, workers.size()).forEach(worker -> worker.fillFor(silence));
      }
      case ONE_LEAVES -> leave(workers.getFirst());
      case SIGHUP -> instances.get(random.nextInt(instances.size())).signal("HUP");
      case STORE_SLOW -> link.slowDown(random.nextInt(MAXIMUM_DELAY_MS), STORE_MS);
      case STORE_LOSES_ANSWERS -> link.loseAnswers(STORE_MS);
    }
  }

  private static void leave(SoakWorker worker) {
    worker.leave();
    Thread.ofVirtual()
        .start(
            () -> {
              PlayClock.sleep(LEAVING_MS);
              worker.comeBack();
            });
  }
}
