package org.magnoliavale.internal.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.CommandResult;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.placement.Planner;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.standin.InMemoryTable;

/**
 * Deterministic simulation of a fleet: several instances of {@link ControlCore} on a virtual clock,
 * with a table and engines that lose and delay messages. Each run follows from its seed.
 */
final class SimulatedFleet {
  static final long CLOCK_DRIFT_MS = 200;
  static final LeaseTimes LEASE = new LeaseTimes(3_000, CLOCK_DRIFT_MS);
  private static final long TICK_INTERVAL_MS = 100;
  private static final long REPORT_INTERVAL_MS = 300;
  private static final long REPORT_LAG_MS = 900;
  private static final long LOAD_DURATION_MS = 400;
  private static final long START_MS = 1_000_000;

  private record Scheduled(long atMs, long sequence, Runnable task) {}

  /** A simulated instance: its core, and the events that arrive while its process is paused. */
  final class Instance {
    private final String name;
    private final ControlCore core;
    private final List<ControlEvent> deferredEvents = new ArrayList<>();
    private long pausedUntilMs;
    private boolean killed;

    Instance(String name) {
      this.name = name;
      ControlOptions options = new ControlOptions(name, LEASE, CLOCK_DRIFT_MS, new Planner());
      this.core = new ControlCore(options, random(seed ^ name.hashCode()));
    }

    ControlCore core() {
      return core;
    }

    String name() {
      return name;
    }

    void pause(long milliseconds) {
      pausedUntilMs = Math.max(pausedUntilMs, nowMs + milliseconds);
    }

    void kill() {
      killed = true;
    }

    boolean isKilled() {
      return killed;
    }

    boolean holdsLease() {
      return !killed && !core.heldPools(nowMs).isEmpty();
    }

    void handle(ControlEvent event) {
      if (killed) {
        return;
      }
      if (nowMs < pausedUntilMs) {
        deferredEvents.add(event);
        return;
      }
      List<ControlEvent> events = new ArrayList<>(deferredEvents);
      deferredEvents.clear();
      events.add(event);
      for (ControlEvent next : events) {
        List<ControlAction> actions = core.handle(next, nowMs);
        session.add(this, nowMs, next, actions);
        actions.forEach(action -> perform(this, action));
      }
    }
  }

  private final long seed;
  private final RandomGenerator random;
  private final FaultRates faults;
  private final InMemoryTable table = new InMemoryTable();
  private final Map<EndpointId, FakeEngine> engines = new TreeMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::atMs).thenComparingLong(Scheduled::sequence));
  private final SessionLog session;
  private Document document;
  private long nowMs = START_MS;
  private long sequence;
  private boolean tableDown;
  private boolean loseNextCommitResponse;

  SimulatedFleet(long seed, Document document, FaultRates faults, SessionLog session) {
    this.seed = seed;
    this.random = random(seed);
    this.faults = faults;
    this.session = session;
    this.document = document;
    syncEngines();
    schedule(TICK_INTERVAL_MS, this::tickAll);
    schedule(REPORT_INTERVAL_MS, this::reportAll);
  }

  static RandomGenerator random(long seed) {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  Instance addInstance(String name) {
    Instance instance = new Instance(name);
    instances.add(instance);
    instance.handle(new ControlEvent.DocumentInForce(document));
    return instance;
  }

  List<Instance> instances() {
    return instances.stream().filter(instance -> !instance.isKilled()).toList();
  }

  Map<EndpointId, FakeEngine> engines() {
    return engines;
  }

  InMemoryTable table() {
    return table;
  }

  long nowMs() {
    return nowMs;
  }

  void setTableDown(boolean down) {
    tableDown = down;
  }

  /** Makes the next ledger commit take effect and lose its response. */
  void loseNextCommitResponse() {
    loseNextCommitResponse = true;
  }

  void install(Document newDocument) {
    document = newDocument;
    syncEngines();
    instances().forEach(instance -> instance.handle(new ControlEvent.DocumentInForce(newDocument)));
  }

  void restart(EndpointId engine) {
    engines.get(engine).memory().restart();
  }

  /** Advances the virtual clock and runs the tasks that become due. */
  void run(long milliseconds) {
    long end = nowMs + milliseconds;
    while (!queue.isEmpty() && queue.peek().atMs() <= end) {
      Scheduled next = queue.poll();
      nowMs = Math.max(nowMs, next.atMs());
      next.task().run();
    }
    nowMs = end;
  }

  boolean anyOvercommitted() {
    return engines.values().stream().anyMatch(engine -> engine.memory().everOvercommitted());
  }

  private void syncEngines() {
    for (Endpoint endpoint : document.endpoints().values()) {
      engines.computeIfAbsent(endpoint.id(), ignored -> new FakeEngine(endpoint));
    }
  }

  private void schedule(long delayMs, Runnable task) {
    sequence++;
    queue.add(new Scheduled(nowMs + delayMs, sequence, task));
  }

  private void tickAll() {
    instances().forEach(instance -> instance.handle(new ControlEvent.Tick()));
    schedule(TICK_INTERVAL_MS, this::tickAll);
  }

  private void reportAll() {
    for (Instance instance : instances()) {
      engines.forEach((id, engine) -> report(instance, id, engine));
    }
    schedule(REPORT_INTERVAL_MS, this::reportAll);
  }

  private void report(Instance instance, EndpointId id, FakeEngine engine) {
    if (random.nextDouble() < faults.reportLossRate()) {
      return;
    }
    long requestedAtMs = nowMs;
    EngineReport report = engine.report(nowMs, REPORT_LAG_MS);
    schedule(
        1 + random.nextLong(20),
        () -> instance.handle(new ControlEvent.ReportReceived(id, report, requestedAtMs)));
  }

  private void perform(Instance instance, ControlAction action) {
    switch (action) {
      case ControlAction.CallTable call -> callTable(instance, call);
      case ControlAction.SendCommand command -> sendCommand(instance, command);
      case ControlAction.Publish ignored -> {}
      case ControlAction.Log ignored -> {}
    }
  }

  private void callTable(Instance instance, ControlAction.CallTable call) {
    if (tableDown) {
      completeTableCall(instance, call, new TableResult.Unavailable("down"), 5);
      return;
    }
    boolean ledgerCommit =
        call.kind() == ControlEvent.CallKind.LEDGER && call.call() instanceof TableCall.Commit;
    if (loseNextCommitResponse && ledgerCommit) {
      loseNextCommitResponse = false;
      schedule(2, () -> call.call().execute(table));
      completeTableCall(instance, call, new TableResult.OutcomeUnknown("lost after"), 500);
      return;
    }
    double draw = random.nextDouble();
    if (draw < faults.tableCallLossRate()) {
      completeTableCall(instance, call, new TableResult.OutcomeUnknown("lost before"), 500);
    } else if (draw < 2 * faults.tableCallLossRate()) {
      schedule(2, () -> call.call().execute(table));
      completeTableCall(instance, call, new TableResult.OutcomeUnknown("lost after"), 500);
    } else if (draw < 3 * faults.tableCallLossRate()) {
      schedule(900 + random.nextLong(9_000), () -> call.call().execute(table));
      completeTableCall(instance, call, new TableResult.OutcomeUnknown("late"), 500);
    } else {
      long delay = 1 + random.nextLong(8);
      schedule(delay, () -> completeTableCall(instance, call, call.call().execute(table), delay));
    }
  }

  private void completeTableCall(
      Instance instance, ControlAction.CallTable call, TableResult result, long delayMs) {
    schedule(
        delayMs,
        () ->
            instance.handle(new ControlEvent.TableCallCompleted(call.pool(), call.kind(), result)));
  }

  private void sendCommand(Instance instance, ControlAction.SendCommand action) {
    if (nowMs >= action.command().notAfterMs()) {
      completeCommand(instance, action, new CommandResult.NotSent("send deadline passed"), 1);
      return;
    }
    double draw = random.nextDouble();
    if (draw < faults.commandLossRate()) {
      completeCommand(instance, action, new CommandResult.Unknown("lost"), 1_000);
    } else if (draw < 2 * faults.commandLossRate()) {
      schedule(1 + random.nextLong(faults.maximumCommandDelayMs()), () -> execute(action));
      completeCommand(instance, action, new CommandResult.Unknown("late"), 1_000);
    } else {
      schedule(
          1 + random.nextLong(5),
          () -> {
            CommandResult result =
                execute(action)
                    ? new CommandResult.Accepted()
                    : new CommandResult.Refused("stale fencing token");
            completeCommand(instance, action, result, 2);
          });
    }
  }

  private void completeCommand(
      Instance instance, ControlAction.SendCommand action, CommandResult result, long delayMs) {
    schedule(
        delayMs,
        () ->
            instance.handle(
                new ControlEvent.CommandCompleted(
                    action.pool(),
                    action.endpoint().id(),
                    action.command().transmission(),
                    result)));
  }

  private boolean execute(ControlAction.SendCommand action) {
    FakeEngine engine = engines.get(action.endpoint().id());
    EngineCommand command = action.command();
    boolean accepted = engine.accept(command);
    if (accepted && engine.memory().isLoading(command.artifact())) {
      String incarnation = engine.memory().incarnation();
      schedule(LOAD_DURATION_MS, () -> engine.memory().finishLoad(command, incarnation));
    }
    return accepted;
  }
}
