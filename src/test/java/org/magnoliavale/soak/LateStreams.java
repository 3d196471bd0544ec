package org.magnoliavale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Streams that outlast the grace period, asked for on kept connections around the time after the
 * stop signal from which an instance takes only what it can finish.
 */
final class LateStreams {
  private static final int COUNT = 12;
  private static final long FIRST_MS = 2_500;
  private static final long INTERVAL_MS = 125;
  private static final String TARGET = Kind.LONG_STREAM.prefix() + "x?events=57&gap=150&size=80";

  private final PlayClock clock;
  private final int port;
  private final long stop;
  private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
  private final List<Caller> callers = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();

  LateStreams(PlayClock clock, InstanceProcess instance, long stop) {
    this.clock = clock;
    this.port = instance.callerPort();
    this.stop = stop;
  }

  void start() {
    for (int number = 0; number < COUNT; number++) {
      String id = "late-" + number;
      long time = stop + FIRST_MS + number * INTERVAL_MS;
      Caller caller = new Caller(clock);
      callers.add(caller);
      threads.add(Thread.ofVirtual().name(id).start(() -> send(caller, id, time)));
    }
  }

  private void send(Caller caller, String id, long time) {
    if (caller.connect(0, port, Kind.READ)) {
      caller
          .exchange(id + "-before", Kind.READ, Kind.READ.prefix(), Form.PLAIN)
          .ifPresent(exchanges::add);
      clock.sleepUntil(time);
      if (caller.isConnected()) {
        caller.exchange(id, Kind.LONG_STREAM, TARGET, Form.PLAIN).ifPresent(exchanges::add);
      }
    }
  }

  /** Ends the streams; returns the requests that had ended before. */
  List<Exchange> end() throws InterruptedException {
    List<Exchange> result = List.copyOf(exchanges);
    callers.forEach(Caller::close);
    for (Thread thread : threads) {
      thread.join();
    }
    return result;
  }
}
