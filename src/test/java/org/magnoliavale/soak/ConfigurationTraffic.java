package org.magnoliavale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Callers that send requests in various forms, drawn from the seed of the play. Some keep a
 * connection idle and send on it at the moments of the changes.
 */
final class ConfigurationTraffic {
  private static final int STEADY_CALLERS = Integer.getInteger("soak.callers", 40);
  private static final int WAITING_CALLERS = 16;
  private static final double NEW_CONNECTION_SHARE = 0.25;
  private static final long PAUSE_MS = 60;
  private static final long BEFORE_FIRST_MS = 1_500;
  private static final int BEFORE_CHANGE_MS = 250;
  private static final int AFTER_CHANGE_MS = 60;
  private static final Kind[] STREAMS = {Kind.LONG_STREAM, Kind.SHORT_STREAM, Kind.LONGEST_STREAM};
  private static final Kind[] PLAIN = {Kind.QUICK_ORDER, Kind.QUICK_READ, Kind.ORDER, Kind.READ};

  private final PlayClock clock;
  private final List<InstanceProcess> instances;
  private final List<Long> changes;
  private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
  private final List<Caller> callers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean ended;

  ConfigurationTraffic(PlayClock clock, List<InstanceProcess> instances, List<Long> changes) {
    this.clock = clock;
    this.instances = instances;
    this.changes = changes;
  }

  void start(int seed) {
    for (int number = 0; number < STEADY_CALLERS + WAITING_CALLERS; number++) {
      String name = seed + "-" + number;
      Random random = new Random(seed * 1_000L + number);
      Kind[] kinds = number % 2 == 0 ? STREAMS : PLAIN;
      boolean waits = number >= STEADY_CALLERS;
      Caller caller = new Caller(clock);
      callers.add(caller);
      threads.add(
          Thread.ofVirtual()
              .name("caller " + name)
              .start(
                  () -> {
                    if (waits) {
                      sendAtChanges(caller, name, random);
                    } else {
                      sendSteadily(caller, name, kinds, random);
                    }
                  }));
    }
  }

  /** Ends the traffic; returns the requests that had ended before. */
  List<Exchange> end() throws InterruptedException {
    ended = true;
    List<Exchange> result = List.copyOf(exchanges);
    callers.forEach(Caller::close);
    for (Thread thread : threads) {
      thread.interrupt();
      thread.join();
    }
    return result;
  }

  private void sendSteadily(Caller caller, String name, Kind[] kinds, Random random) {
    for (int number = 0; !ended; number++) {
      PlayClock.sleep(random.nextLong(PAUSE_MS));
      send(caller, name + "-" + number, random, draw(kinds, random));
    }
    caller.close();
  }

  /** Keeps a connection that has been used, and sends on it at the moment of each change. */
  private void sendAtChanges(Caller caller, String name, Random random) {
    for (int number = 0; number < changes.size() && !ended; number++) {
      clock.sleepUntil(changes.get(number) - BEFORE_FIRST_MS);
      send(caller, name + "-" + number + "-before", random, Kind.QUICK_READ);
      Kind kind = draw(random.nextBoolean() ? STREAMS : PLAIN, random);
      clock.sleepUntil(changes.get(number) + random.nextInt(-BEFORE_CHANGE_MS, AFTER_CHANGE_MS));
      send(caller, name + "-" + number, random, kind);
    }
    caller.close();
  }

  private static Kind draw(Kind[] kinds, Random random) {
    return kinds[random.nextInt(kinds.length)];
  }

  private void send(Caller caller, String id, Random random, Kind kind) {
    boolean anew = random.nextDouble() < NEW_CONNECTION_SHARE;
    int index = random.nextInt(instances.size());
    Form form = Form.drawPieces(random);
    String target = kind.target(random.nextDouble());
    boolean connected =
        caller.isConnected() && !anew
            || caller.connect(index, instances.get(index).callerPort(), kind);
    if (connected) {
      caller.exchange(id, kind, target, form).ifPresent(exchanges::add);
    }
  }
}
