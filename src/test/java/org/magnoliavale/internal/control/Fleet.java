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
import org.magnoliavale.internal.engine.EngineOrder;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.engine.OrderAnswer;
import org.magnoliavale.internal.identifier.EndpointId;
import org.magnoliavale.internal.lease.LeaseTimes;
import org.magnoliavale.internal.placement.Planner;
import org.magnoliavale.internal.platform.TableAnswer;
import org.magnoliavale.internal.platform.TableCall;
import org.magnoliavale.internal.standin.InMemoryTable;

/**
 * Deterministic simulation of a fleet: several instances of {@link ControlCore} on a virtual clock,
 * with a table and engines that lose and delay messages. Each run follows from its seed.
 */
final class Fleet {
  static final long DRIFT_MS = 200;
  static final LeaseTimes LEASE = new LeaseTimes(3_000, DRIFT_MS);
  private static final long TICK_MS = 100;
  private static final long REPORT_MS = 300;
  private static final long REPORT_LAG_MS = 900;
  private static final long LOAD_MS = 400;
  private static final long START_MS = 1_000_000;

  private record Scheduled(long atMs, long sequence, Runnable task) {}

  /** A simulated instance: its core, and the events that arrive while its process is paused. */
  final class Node {
    private final String name;
    private final ControlCore core;
    private final List<ControlEvent> waiting = new ArrayList<>();
    private long pausedUntilMs;
    private boolean dead;

    Node(String name) {
      this.name = name;
      ControlOptions options = new ControlOptions(name, LEASE, DRIFT_MS, new Planner());
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
      dead = true;
    }

    boolean isDead() {
      return dead;
    }

    boolean holds() {
      return !dead && !core.heldPools(nowMs).isEmpty();
    }

    void handle(ControlEvent event) {
      if (dead) {
        return;
      }
      if (nowMs < pausedUntilMs) {
        waiting.add(event);
        return;
      }
      List<ControlEvent> events = new ArrayList<>(waiting);
      waiting.clear();
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
  private final Faults faults;
  private final InMemoryTable table = new InMemoryTable();
  private final Map<EndpointId, FakeEngine> engines = new TreeMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::atMs).thenComparingLong(Scheduled::sequence));
  private final SessionLog session;
  private Document document;
  private long nowMs = START_MS;
  private long sequence;
  private boolean tableDown;
  private boolean loseNextCommitAnswer;

  Fleet(long seed, Document document, Faults faults, SessionLog session) {
    this.seed = seed;
    this.random = random(seed);
    this.faults = faults;
    this.session = session;
    this.document = document;
    syncEngines();
    schedule(TICK_MS, this::tickAll);
    schedule(REPORT_MS, this::reportAll);
  }

  static RandomGenerator random(long seed) {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  Node addNode(String name) {
    Node node = new Node(name);
    nodes.add(node);
    node.handle(new ControlEvent.DocumentInForce(document));
    return node;
  }

  List<Node> nodes() {
    return nodes.stream().filter(node -> !node.isDead()).toList();
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

  /** Makes the next ledger commit take effect without an answer. */
  void loseNextCommitAnswer() {
    loseNextCommitAnswer = true;
  }

  void install(Document newDocument) {
    document = newDocument;
    syncEngines();
    nodes().forEach(node -> node.handle(new ControlEvent.DocumentInForce(newDocument)));
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
    nodes().forEach(node -> node.handle(new ControlEvent.Tick()));
    schedule(TICK_MS, this::tickAll);
  }

  private void reportAll() {
    for (Node node : nodes()) {
      engines.forEach((id, engine) -> report(node, id, engine));
    }
    schedule(REPORT_MS, this::reportAll);
  }

  private void report(Node node, EndpointId id, FakeEngine engine) {
    if (random.nextDouble() < faults.lostReports()) {
      return;
    }
    long askedAt = nowMs;
    EngineReport report = engine.report(nowMs, REPORT_LAG_MS);
    schedule(
        1 + random.nextLong(20),
        () -> node.handle(new ControlEvent.ReportRead(id, report, askedAt)));
  }

  private void perform(Node node, ControlAction action) {
    switch (action) {
      case ControlAction.CallTable call -> callTable(node, call);
      case ControlAction.SendOrder order -> sendOrder(node, order);
      case ControlAction.Publish ignored -> {}
      case ControlAction.Log ignored -> {}
    }
  }

  private void callTable(Node node, ControlAction.CallTable call) {
    if (tableDown) {
      answerTable(node, call, new TableAnswer.Unavailable("down"), 5);
      return;
    }
    boolean ledgerCommit =
        call.kind() == ControlEvent.CallKind.LEDGER && call.call() instanceof TableCall.Commit;
    if (loseNextCommitAnswer && ledgerCommit) {
      loseNextCommitAnswer = false;
      schedule(2, () -> call.call().make(table));
      answerTable(node, call, new TableAnswer.Unknown("lost after"), 500);
      return;
    }
    double draw = random.nextDouble();
    if (draw < faults.lostTableCalls()) {
      answerTable(node, call, new TableAnswer.Unknown("lost before"), 500);
    } else if (draw < 2 * faults.lostTableCalls()) {
      schedule(2, () -> call.call().make(table));
      answerTable(node, call, new TableAnswer.Unknown("lost after"), 500);
    } else if (draw < 3 * faults.lostTableCalls()) {
      schedule(900 + random.nextLong(9_000), () -> call.call().make(table));
      answerTable(node, call, new TableAnswer.Unknown("late"), 500);
    } else {
      long delay = 1 + random.nextLong(8);
      schedule(delay, () -> answerTable(node, call, call.call().make(table), delay));
    }
  }

  private void answerTable(
      Node node, ControlAction.CallTable call, TableAnswer answer, long delayMs) {
    schedule(
        delayMs,
        () -> node.handle(new ControlEvent.TableAnswered(call.pool(), call.kind(), answer)));
  }

  private void sendOrder(Node node, ControlAction.SendOrder action) {
    if (nowMs >= action.order().notAfterMs()) {
      answerOrder(node, action, new OrderAnswer.NotSent("send deadline passed"), 1);
      return;
    }
    double draw = random.nextDouble();
    if (draw < faults.lostOrders()) {
      answerOrder(node, action, new OrderAnswer.Unknown("lost"), 1_000);
    } else if (draw < 2 * faults.lostOrders()) {
      schedule(1 + random.nextLong(faults.orderLatenessMs()), () -> execute(action));
      answerOrder(node, action, new OrderAnswer.Unknown("late"), 1_000);
    } else {
      schedule(
          1 + random.nextLong(5),
          () -> {
            OrderAnswer answer =
                execute(action)
                    ? new OrderAnswer.Accepted()
                    : new OrderAnswer.Refused("stale fencing token");
            answerOrder(node, action, answer, 2);
          });
    }
  }

  private void answerOrder(
      Node node, ControlAction.SendOrder action, OrderAnswer answer, long delayMs) {
    schedule(
        delayMs,
        () ->
            node.handle(
                new ControlEvent.OrderAnswered(
                    action.pool(), action.endpoint().id(), action.order().transmission(), answer)));
  }

  private boolean execute(ControlAction.SendOrder action) {
    FakeEngine engine = engines.get(action.endpoint().id());
    EngineOrder order = action.order();
    boolean accepted = engine.take(order);
    if (accepted && engine.memory().isLoading(order.artifact())) {
      String incarnation = engine.memory().incarnation();
      schedule(LOAD_MS, () -> engine.memory().finishLoad(order, incarnation));
    }
    return accepted;
  }
}
