package org.magnoliavale.internal.origin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.call.StreamOrigin;
import org.magnoliavale.internal.call.StreamOrigins.Recording;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.SoftwareVersion;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.gateway.FakeTable;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/**
 * Instances on a virtual clock that let streams begin and take them up, while versions roll out and
 * back, instances end one by one or all at once, and the table does not answer some of them. Each
 * instance sees the endpoints as they were up to 4 s ago.
 */
final class SimulatedStreams {
  private static final int INSTANCES = 4;
  private static final int STEP_MS = 10;
  private static final Duration LONGEST_STREAM = Duration.ofSeconds(10);
  private static final int TABLE_DELAY_MS = 30;

  /** Least time until a version that has left comes back. */
  private static final int LEAST_ABSENCE_MS = 20_000;

  private static final int MAXIMUM_LATE_MS = 5_000;

  private record Event(long atMs, long number, Runnable action) {}

  private record Endpoint(String id, SoftwareVersion version, long bornMs) {}

  private record Stream(String id, SoftwareVersion version, long begunMs) {}

  private final Random random;
  private final FakeTable table = new FakeTable();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
  private final List<Instance> instances = new ArrayList<>();
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<String, Long> leftMs = new HashMap<>();
  private final List<Stream> streams = new ArrayList<>();
  private long nowMs = 1_000_000;
  private long numbers;
  private int goneOn;
  private int joined;
  private int unknownAtCalmInstances;
  private int takenUpAtCalmInstances;

  SimulatedStreams(long seed) {
    random = new Random(seed);
    addEndpoints("v1", 4);
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance());
    }
  }

  int joined() {
    return joined;
  }

  int goneOn() {
    return goneOn;
  }

  /** Returns the share of take-ups at instances without trouble that did not go on. */
  double unknownShare() {
    return (double) unknownAtCalmInstances / Math.max(1, takenUpAtCalmInstances);
  }

  void run(int seconds) {
    int steps = seconds * 1_000 / STEP_MS;
    for (int step = 0; step < steps; step++) {
      nowMs += STEP_MS;
      while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
        events.remove().action().run();
      }
      instances.forEach(Instance::step);
      if (happens(20)) {
        begin();
      }
      if (happens(10)) {
        takeUp();
      }
      change();
    }
  }

  /** Returns true this often a second on average. */
  private boolean happens(double perSecond) {
    return random.nextDouble() < perSecond * STEP_MS / 1_000;
  }

  private void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, numbers++, action));
  }

  private void change() {
    if (happens(0.06)) {
      String version = "v" + (1 + random.nextInt(3));
      if (nowMs - leftMs.getOrDefault(version, 0L) > LEAST_ABSENCE_MS) {
        addEndpoints(version, 2);
      }
    }
    if (happens(0.12) && endpoints.size() > 2) {
      SoftwareVersion version = endpoints.get(random.nextInt(endpoints.size())).version();
      if (endpoints.stream().anyMatch(endpoint -> !endpoint.version().equals(version))) {
        endpoints.removeIf(endpoint -> endpoint.version().equals(version));
        leftMs.put(version.text(), nowMs);
      }
    }
    if (happens(0.1)) {
      instances.set(random.nextInt(INSTANCES), new Instance());
    }
    if (happens(0.05)) {
      instances.replaceAll(ignored -> new Instance());
    }
    if (happens(0.1)) {
      instances.get(random.nextInt(INSTANCES)).disturb();
    }
  }

  private void addEndpoints(String version, int count) {
    for (int i = 0; i < count; i++) {
      endpoints.add(new Endpoint("e" + numbers++, new SoftwareVersion(version), nowMs));
    }
  }

  private void begin() {
    Instance instance = instances.get(random.nextInt(INSTANCES));
    List<Endpoint> usable = new ArrayList<>(instance.listed);
    usable.retainAll(endpoints);
    Optional<SoftwareVersion> only = instance.origins.onlyBeginning(TestEntries.SERVICE);
    only.ifPresent(version -> usable.removeIf(endpoint -> !endpoint.version().equals(version)));
    if (!usable.isEmpty()) {
      instance.begin(usable.get(random.nextInt(usable.size())).version());
    }
  }

  private void takeUp() {
    streams.removeIf(stream -> nowMs - stream.begunMs() > LONGEST_STREAM.toMillis());
    if (!streams.isEmpty()) {
      Stream stream = streams.get(random.nextInt(streams.size()));
      instances.get(random.nextInt(INSTANCES)).takeUp(stream);
    }
  }

  private final class Instance implements Table {
    private final RecordedOrigins origins;
    private List<Endpoint> listed = List.of();
    private final long startedMs = nowMs;
    private long disturbedUntilMs;
    private long nextReadMs;

    Instance() {
      origins =
          RecordedOrigins.of(
              this,
              task -> after(1 + random.nextInt(TABLE_DELAY_MS), task),
              () -> instances.indexOf(this) == 0,
              new TestStreams(LONGEST_STREAM),
              () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private boolean runs() {
      return instances.contains(this);
    }

    /** Cuts the instance off from the table. */
    void disturb() {
      disturbedUntilMs = nowMs + 500 + random.nextInt(9_000);
    }

    private boolean isDisturbed() {
      return nowMs < disturbedUntilMs;
    }

    private boolean isCalm() {
      return !isDisturbed() && nowMs - disturbedUntilMs > 4_000 && nowMs - startedMs > 4_000;
    }

    void step() {
      if (nowMs >= nextReadMs && !isDisturbed()) {
        nextReadMs = nowMs + 500 + random.nextInt(3_500);
        listed = List.copyOf(endpoints);
        origins.update(listed.stream().map(this::entry).toList());
      }
    }

    private DirectoryEntry entry(Endpoint endpoint) {
      return TestEntries.withVersion(
          TestEntries.incarnation(endpoint.id(), endpoint.bornMs(), "m"),
          endpoint.version().text());
    }

    void begin(SoftwareVersion version) {
      String id = "s" + numbers++;
      Recording recording =
          origins.begin(
              TestEntries.SERVICE,
              id,
              version,
              LONGEST_STREAM,
              written -> recorded(id, version, written));
      if (recording == Recording.NOT_NEEDED) {
        streams.add(new Stream(id, version, nowMs));
      }
    }

    private void recorded(String id, SoftwareVersion version, boolean written) {
      if (written && runs()) {
        streams.add(new Stream(id, version, nowMs));
      }
    }

    void takeUp(Stream stream) {
      boolean calm = isCalm();
      origins.find(
          TestEntries.SERVICE,
          stream.id(),
          origin -> {
            if (runs()) {
              takenUp(stream, origin, calm);
            }
          });
    }

    private void takenUp(Stream stream, StreamOrigin origin, boolean calm) {
      takenUpAtCalmInstances += calm ? 1 : 0;
      switch (origin) {
        case StreamOrigin.Known(SoftwareVersion version) -> {
          boolean served =
              listed.stream()
                  .anyMatch(
                      endpoint ->
                          endpoint.version().equals(version) && endpoints.contains(endpoint));
          joined += served && !version.equals(stream.version()) ? 1 : 0;
          goneOn++;
        }
        case StreamOrigin.Gone ignored -> refused(calm);
        case StreamOrigin.Unknown ignored -> refused(calm);
        case StreamOrigin.Unavailable ignored -> refused(calm);
      }
    }

    private void refused(boolean calm) {
      unknownAtCalmInstances += calm ? 1 : 0;
    }

    @Override
    public TableResult commit(Transaction transaction) {
      if (!isDisturbed()) {
        return table.commit(transaction);
      }
      if (random.nextBoolean()) {
        after(random.nextInt(MAXIMUM_LATE_MS), () -> table.commit(transaction));
      }
      return new TableResult.OutcomeUnknown("no answer");
    }

    @Override
    public TableResult read(List<String> keys) {
      return isDisturbed() ? new TableResult.Unavailable("no answer") : table.read(keys);
    }

    @Override
    public TableResult scan(String prefix) {
      return isDisturbed() ? new TableResult.Unavailable("no answer") : table.scan(prefix);
    }

    @Override
    public long generation() {
      return table.generation();
    }
  }
}
