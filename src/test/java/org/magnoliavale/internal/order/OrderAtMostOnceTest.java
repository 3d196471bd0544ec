package org.magnoliavale.internal.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.PlainService;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.http.EngineHeaders;
import org.magnoliavale.internal.platform.FaultyTable;
import org.magnoliavale.internal.platform.Table;
import org.magnoliavale.internal.routing.Candidate;
import org.magnoliavale.internal.routing.EndpointLoad;
import org.magnoliavale.internal.routing.Router;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.routing.RoutingSnapshot;
import org.magnoliavale.internal.standin.InMemoryTable;
import org.magnoliavale.internal.traffic.BufferedResponse;
import org.magnoliavale.internal.traffic.EndpointSelector;
import org.magnoliavale.internal.traffic.RequestContext;
import org.magnoliavale.internal.traffic.RequestTemplate;
import org.magnoliavale.internal.traffic.RoutingDecisionHistory;

/** Fails an order at every step and sends it again; it must never run twice. */
class OrderAtMostOnceTest {
  private static final Duration DEADLINE = Duration.ofSeconds(30);

  /** Time given to a call whose process is killed on the way, and so never answers. */
  private static final long KILLED_CALL_MS = 100;

  private static final long ANSWERED_CALL_MS = 60_000;
  private static final int EVERY_TRY = 100;

  /** What a caller learned. */
  private enum Told {
    COMPLETE,
    NOT_RUN,
    UNKNOWN,
    IN_PROGRESS,
    NO_ANSWER
  }

  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicLong nowMs = new AtomicLong(1_000_000);
  private final InstantSource clock = () -> Instant.ofEpochMilli(nowMs.get());
  private final List<ClaimTable> claimTables = new ArrayList<>();

  @AfterEach
  void stopClaimTables() {
    claimTables.forEach(ClaimTable::stop);
  }

  private ClaimingOrderDesk desk(Table table, FaultySender.Fault fault) {
    ClaimTable claims = ClaimTable.of(table);
    claims.start();
    claimTables.add(claims);
    EndpointSelector routing =
        new EndpointSelector(
            Router.of(RoutingPolicy.named("earliest-finish")),
            OrderAtMostOnceTest::snapshot,
            RandomGenerator::getDefault,
            new RoutingDecisionHistory());
    return new ClaimingOrderDesk(
        claims, new FaultySender(fault, runs), routing, clock, 1024 * 1024);
  }

  private static RoutingSnapshot snapshot() {
    Document document =
        DocumentReader.read("d.ini", TestDocuments.base() + TestDocuments.desk("desk-1", 1), 1);
    Endpoint endpoint = document.endpoints().values().iterator().next();
    Candidate candidate = new Candidate(endpoint, new EndpointLoad(), 0, Set.of(), 0);
    return new RoutingSnapshot(document, Map.of(), Map.of("ordering", List.of(candidate)), 1);
  }

  private Told call(ClaimingOrderDesk desk, String key, String body) {
    return call(desk, key, body, ANSWERED_CALL_MS);
  }

  private Told call(ClaimingOrderDesk desk, String key, String body, long waitMs) {
    CompletableFuture<Told> told = new CompletableFuture<>();
    Thread.startVirtualThread(() -> told.complete(place(desk, key, body)));
    try {
      return told.get(waitMs, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return Told.NO_ANSWER;
    } catch (InterruptedException | ExecutionException e) {
      throw new AssertionError(e);
    }
  }

  private static Told place(ClaimingOrderDesk desk, String key, String body) {
    try {
      BufferedResponse answer = place(desk, key, body, "req");
      assertThat(answer.status()).isEqualTo(201);
      return Told.COMPLETE;
    } catch (MagnoliavaleException e) {
      return switch (e.code()) {
        case ORDER_NOT_RUN -> Told.NOT_RUN;
        case ORDER_OUTCOME_UNKNOWN -> Told.UNKNOWN;
        case ORDER_IN_PROGRESS -> Told.IN_PROGRESS;
        default -> throw e;
      };
    }
  }

  private static BufferedResponse place(
      ClaimingOrderDesk desk, String key, String body, String requestId) {
    RequestContext context =
        new RequestContext(
            requestId, System.nanoTime() + DEADLINE.toNanos(), 0, RequestContext.ANONYMOUS, null);
    HttpFields headers = HttpFields.build().put(EngineHeaders.IDEMPOTENCY_KEY, key);
    RequestTemplate template =
        new RequestTemplate("POST", "/orders", HttpFields.EMPTY, body.getBytes(), false);
    PlainService service = snapshot().document().services().get("ordering");
    return desk.forward(context, service, headers, template);
  }

  @Test
  void neverRunsTwiceWhereverItFails() {
    for (FaultyTable.Fault tableFault : FaultyTable.Fault.values()) {
      for (int step = 1; step <= 2; step++) {
        for (FaultySender.Fault sendFault : FaultySender.Fault.values()) {
          failAndSendAgain(tableFault, step, step, sendFault);
          failAndSendAgain(tableFault, step, EVERY_TRY, sendFault);
        }
      }
    }
  }

  private void failAndSendAgain(
      FaultyTable.Fault tableFault, int first, int last, FaultySender.Fault sendFault) {
    runs.set(0);
    InMemoryTable table = new InMemoryTable();
    String failure =
        "table %s at commits %d to %d, connection %s".formatted(tableFault, first, last, sendFault);
    boolean killed = tableFault.name().contains("KILLED") || sendFault.name().contains("KILLED");
    ClaimingOrderDesk failing = desk(new FaultyTable(table, tableFault, first, last), sendFault);
    Told firstCall = call(failing, "key", "body", killed ? KILLED_CALL_MS : ANSWERED_CALL_MS);
    int runsAfterFirst = runs.get();
    ClaimingOrderDesk another = desk(table, FaultySender.Fault.NONE);
    Told secondCall = call(another, "key", "body");
    nowMs.addAndGet(DEADLINE.multipliedBy(2).toMillis());
    Told thirdCall = call(another, "key", "body");

    assertThat(runs.get()).as("runs: " + failure).isLessThanOrEqualTo(1);
    assertThat(thirdCall).as(failure).isNotIn(Told.NO_ANSWER, Told.IN_PROGRESS);
    switch (firstCall) {
      case COMPLETE -> assertThat(runsAfterFirst).as("complete: " + failure).isEqualTo(1);
      case NOT_RUN -> {
        assertThat(runsAfterFirst).as("not run: " + failure).isZero();
        assertThat(secondCall).as("can run again: " + failure).isEqualTo(Told.COMPLETE);
      }
      case UNKNOWN, NO_ANSWER -> {}
      case IN_PROGRESS -> throw new AssertionError("first call in progress: " + failure);
    }
    if (secondCall == Told.COMPLETE) {
      assertThat(runs.get()).as("second complete: " + failure).isEqualTo(1);
      assertThat(thirdCall).as("replayed: " + failure).isEqualTo(Told.COMPLETE);
    }
    if (secondCall == Told.NOT_RUN || thirdCall == Told.NOT_RUN) {
      assertThat(runs.get()).as("later not run: " + failure).isZero();
    }
  }

  @Nested
  class Duplicates {
    @Test
    void getTheRecordedAnswer() {
      InMemoryTable table = new InMemoryTable();
      assertThat(call(desk(table, FaultySender.Fault.NONE), "key", "body"))
          .isEqualTo(Told.COMPLETE);
      assertThat(call(desk(table, FaultySender.Fault.NONE), "key", "body"))
          .isEqualTo(Told.COMPLETE);
      assertThat(runs).hasValue(1);
    }

    @Test
    void withOtherContentAreRefused() {
      InMemoryTable table = new InMemoryTable();
      ClaimingOrderDesk desk = desk(table, FaultySender.Fault.NONE);
      place(desk, "key", "body", "first");
      assertThat(
              catchThrowableOfType(
                      MagnoliavaleException.class, () -> place(desk, "key", "other", "second"))
                  .code())
          .isEqualTo(ErrorCode.IDEMPOTENCY_KEY_REUSED);
      assertThat(runs).hasValue(1);
    }

    @Test
    void areToldThatTheFirstIsInProgress() {
      InMemoryTable table = new InMemoryTable();
      call(desk(table, FaultySender.Fault.KILLED_BEFORE_FIRST_BYTE), "key", "body", KILLED_CALL_MS);
      assertThat(call(desk(table, FaultySender.Fault.NONE), "key", "body"))
          .isEqualTo(Told.IN_PROGRESS);
    }
  }

  @Test
  void manyOrdersAreClaimedInFewTransactions() throws InterruptedException {
    SlowTable slow = new SlowTable(new InMemoryTable());
    ClaimingOrderDesk desk = desk(slow, FaultySender.Fault.NONE);
    int orders = 500;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < orders; i++) {
      String key = "key-" + i;
      threads.add(Thread.startVirtualThread(() -> place(desk, key, "body")));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(runs).hasValue(orders);
    assertThat(slow.commits()).isLessThan(orders);
  }
}
