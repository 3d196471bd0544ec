package org.magnoliavale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;

/** Callers that send requests one after another, drawn from the seed of the play. */
final class Traffic {
  private static final int CALLERS = Integer.getInteger("soak.callers", 40);
  private static final double NEW_CONNECTION_SHARE = 0.3;
  private static final double STOPPED_INSTANCE_SHARE = 0.7;
  private static final long PAUSE_MS = 40;

  private final PlayClock clock;
  private final List<InstanceProcess> instances;
  private final Function<Random, Form> requestForms;
  private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
  private final List<Caller> callers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean ended;

  /** Returns traffic that is not started; the instance of index 0 gets most of it. */
  Traffic(PlayClock clock, List<InstanceProcess> instances, Function<Random, Form> requestForms) {
    this.clock = clock;
    this.instances = instances;
    this.requestForms = requestForms;
  }

  void start(int seed) {
    for (int number = 0; number < CALLERS; number++) {
      String name = seed + "-" + number;
      Random random = new Random(seed * 1_000L + number);
      Caller caller = new Caller(clock);
      callers.add(caller);
      threads.add(
          Thread.ofVirtual().name("caller " + name).start(() -> send(caller, name, random)));
    }
  }

  /** Ends the traffic; returns the requests that had ended before. */
  List<Exchange> end() throws InterruptedException {
    ended = true;
    List<Exchange> result = List.copyOf(exchanges);
    callers.forEach(Caller::close);
    for (Thread thread : threads) {
      thread.join();
    }
    return result;
  }

  private void send(Caller caller, String name, Random random) {
    Random formRandom = new Random(random.nextLong());
    for (int number = 0; !ended; number++) {
      Kind kind = draw(random.nextDouble());
      String target = kind.target(random.nextDouble());
      Form form = requestForms.apply(formRandom).of(kind);
      boolean anew = random.nextDouble() < NEW_CONNECTION_SHARE || kind == Kind.SLOW_READER;
      int index =
          random.nextDouble() < STOPPED_INSTANCE_SHARE
              ? 0
              : 1 + random.nextInt(instances.size() - 1);
      PlayClock.sleep(random.nextLong(PAUSE_MS));
      boolean connected =
          caller.isConnected() && !anew
              || caller.connect(index, instances.get(index).callerPort(), kind);
      if (connected) {
        caller.exchange(name + "-" + number, kind, target, form).ifPresent(exchanges::add);
      } else {
        PlayClock.sleep(PAUSE_MS);
      }
    }
    caller.close();
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
