package org.magnoliavale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Callers that send requests one after another, drawn from the seed of the play. */
final class Traffic {
  private static final int CALLERS = Integer.getInteger("soak.callers", 30);
  private static final double NEW_CONNECTION_SHARE = 0.3;
  private static final double STOPPED_INSTANCE_SHARE = 0.7;
  private static final long PAUSE_MS = 40;

  private final PlayClock clock;
  private final List<InstanceProcess> instances;
  private final long end;
  private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();

  /** Returns traffic until a time of the play; the instance of index 0 gets most of it. */
  Traffic(PlayClock clock, List<InstanceProcess> instances, long end) {
    this.clock = clock;
    this.instances = instances;
    this.end = end;
  }

  void start(int seed) {
    for (int number = 0; number < CALLERS; number++) {
      String name = seed + "-" + number;
      Random random = new Random(seed * 1_000L + number);
      threads.add(Thread.ofVirtual().name("caller " + name).start(() -> send(name, random)));
    }
  }

  List<Exchange> await() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
    return List.copyOf(exchanges);
  }

  private void send(String name, Random random) {
    try (Caller caller = new Caller(clock)) {
      for (int number = 0; clock.now() < end; number++) {
        Kind kind = draw(random.nextDouble());
        String target = kind.target(random.nextDouble());
        boolean anew = random.nextDouble() < NEW_CONNECTION_SHARE;
        int index =
            random.nextDouble() < STOPPED_INSTANCE_SHARE
                ? 0
                : 1 + random.nextInt(instances.size() - 1);
        PlayClock.sleep(random.nextLong(PAUSE_MS));
        if (anew || !caller.isConnected() || kind == Kind.SLOW_READER) {
          if (!caller.connect(index, instances.get(index).callerPort(), kind)) {
            PlayClock.sleep(PAUSE_MS);
            continue;
          }
        }
        Optional<Exchange> exchange = caller.exchange(name + "-" + number, kind, target);
        exchange.ifPresent(exchanges::add);
      }
    }
  }

  private static Kind draw(double share) {
    if (share < 0.35) {
      return Kind.LONG_STREAM;
    } else if (share < 0.55) {
      return Kind.SHORT_STREAM;
    } else if (share < 0.65) {
      return Kind.SINGLE_STREAM;
    } else if (share < 0.7) {
      return Kind.SLOW_READER;
    }
    return share < 0.85 ? Kind.ORDER : Kind.READ;
  }
}
