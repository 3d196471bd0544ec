package org.magnoliavale.internal.idempotency;

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
import org.magnoliavale.internal.http.HeaderNames;
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

/**
 * Guards against a non-idempotent request that is executed twice: fails the table or the connection
 * at every step of a request, then sends the request again.
 */
class AtMostOnceExecutorTest {
  private static final Duration DEADLINE = Duration.ofSeconds(30);

  /** Time after which a call whose process is killed, so that it never completes, is given up. */
  private static final long KILLED_CALL_TIMEOUT_MS = 100;

  private static final long CALL_TIMEOUT_MS = 60_000;
  private static final int EVERY_COMMIT = 100;

  /** The outcome that a caller sees. */
  private enum CallerOutcome {
    COMPLETE,
    NOT_RUN,
    UNKNOWN,
    IN_PROGRESS,
    NO_ANSWER
  }

  private final AtomicInteger runs = new AtomicInteger();
  private final AtomicLong nowMs = new AtomicLong(1_000_000);
  private final InstantSource clock = () -> Instant.ofEpochMilli(nowMs.get());
  private final List<ClaimWriter> claimWriters = new ArrayList<>();

  @AfterEach
  void stopClaimWriters() {
    claimWriters.forEach(ClaimWriter::stop);
  }

  private AtMostOnceExecutor executor(Table table, FaultySender.Fault fault) {
    ClaimWriter claims = ClaimWriter.of(table);
    claims.start();
    claimWriters.add(claims);
    EndpointSelector endpointSelector =
        new EndpointSelector(
            Router.of(RoutingPolicy.named("earliest-finish")),
            AtMostOnceExecutorTest::snapshot,
            RandomGenerator::getDefault,
            new RoutingDecisionHistory());
    return new AtMostOnceExecutor(
        claims, new FaultySender(fault, runs), endpointSelector, clock, 1024 * 1024);
  }

  private static RoutingSnapshot snapshot() {
    Document document =
        DocumentReader.read(
            "d.ini", TestDocuments.base() + TestDocuments.serviceEndpoint("desk-1", 1), 1);
    Endpoint endpoint = document.endpoints().values().iterator().next();
    Candidate candidate = new Candidate(endpoint, new EndpointLoad(), 0, Set.of(), 0);
    return new RoutingSnapshot(document, Map.of(), Map.of("ordering", List.of(candidate)), 1);
  }

  private CallerOutcome call(AtMostOnceExecutor executor, String key, String body) {
    return call(executor, key, body, CALL_TIMEOUT_MS);
  }

  private CallerOutcome call(AtMostOnceExecutor executor, String key, String body, long waitMs) {
    CompletableFuture<CallerOutcome> outcome = new CompletableFuture<>();
    Thread.startVirtualThread(() -> outcome.complete(outcomeOf(executor, key, body)));
    try {
      return outcome.get(waitMs, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return CallerOutcome.NO_ANSWER;
    } catch (InterruptedException | ExecutionException e) {
      throw new AssertionError(e);
    }
  }

  private static CallerOutcome outcomeOf(AtMostOnceExecutor executor, String key, String body) {
    try {
      BufferedResponse response = forward(executor, key, body, "req");
      assertThat(response.status()).isEqualTo(201);
      return CallerOutcome.COMPLETE;
    } catch (MagnoliavaleException e) {
      return switch (e.code()) {
        case ORDER_NOT_RUN -> CallerOutcome.NOT_RUN;
        case ORDER_OUTCOME_UNKNOWN -> CallerOutcome.UNKNOWN;
        case ORDER_IN_PROGRESS -> CallerOutcome.IN_PROGRESS;
        default -> throw e;
      };
    }
  }

  private static BufferedResponse forward(
      AtMostOnceExecutor executor, String key, String body, String requestId) {
    RequestContext context =
        new RequestContext(
            requestId, System.nanoTime() + DEADLINE.toNanos(), 0, RequestContext.ANONYMOUS, null);
    HttpFields headers = HttpFields.build().put(HeaderNames.IDEMPOTENCY_KEY, key);
    RequestTemplate template =
        new RequestTemplate("POST", "/orders", HttpFields.EMPTY, body.getBytes(), false);
    PlainService service = snapshot().document().services().get("ordering");
    return executor.forward(context, service, headers, template);
  }

  @Test
  void neverExecutesTwiceWhicheverStepFails() {
    for (FaultyTable.Fault tableFault : FaultyTable.Fault.values()) {
      for (int step = 1; step <= 2; step++) {
        for (FaultySender.Fault sendFault : FaultySender.Fault.values()) {
          failAndRetry(tableFault, step, step, sendFault);
          failAndRetry(tableFault, step, EVERY_COMMIT, sendFault);
        }
      }
    }
  }

  private void failAndRetry(
      FaultyTable.Fault tableFault, int first, int last, FaultySender.Fault sendFault) {
    runs.set(0);
    InMemoryTable table = new InMemoryTable();
    String failure =
        "table %s at commits %d to %d, connection %s".formatted(tableFault, first, last, sendFault);
    boolean killed = tableFault.name().contains("KILLED") || sendFault.name().contains("KILLED");
    AtMostOnceExecutor failing =
        executor(new FaultyTable(table, tableFault, first, last), sendFault);
    CallerOutcome firstCall =
        call(failing, "key", "body", killed ? KILLED_CALL_TIMEOUT_MS : CALL_TIMEOUT_MS);
    int runsAfterFirst = runs.get();
    AtMostOnceExecutor another = executor(table, FaultySender.Fault.NONE);
    CallerOutcome secondCall = call(another, "key", "body");
    nowMs.addAndGet(DEADLINE.multipliedBy(2).toMillis());
    CallerOutcome thirdCall = call(another, "key", "body");

    assertThat(runs.get()).as("runs: " + failure).isLessThanOrEqualTo(1);
    assertThat(thirdCall).as(failure).isNotIn(CallerOutcome.NO_ANSWER, CallerOutcome.IN_PROGRESS);
    switch (firstCall) {
      case COMPLETE -> assertThat(runsAfterFirst).as("complete: " + failure).isEqualTo(1);
      case NOT_RUN -> {
        assertThat(runsAfterFirst).as("not run: " + failure).isZero();
        assertThat(secondCall).as("can run again: " + failure).isEqualTo(CallerOutcome.COMPLETE);
      }
      case UNKNOWN, NO_ANSWER -> {}
      case IN_PROGRESS -> throw new AssertionError("first call in progress: " + failure);
    }
    if (secondCall == CallerOutcome.COMPLETE) {
      assertThat(runs.get()).as("second complete: " + failure).isEqualTo(1);
      assertThat(thirdCall).as("replayed: " + failure).isEqualTo(CallerOutcome.COMPLETE);
    }
    if (secondCall == CallerOutcome.NOT_RUN || thirdCall == CallerOutcome.NOT_RUN) {
      assertThat(runs.get()).as("later not run: " + failure).isZero();
    }
  }

  @Nested
  class Duplicates {
    @Test
    void getTheRecordedResponse() {
      InMemoryTable table = new InMemoryTable();
      assertThat(call(executor(table, FaultySender.Fault.NONE), "key", "body"))
          .isEqualTo(CallerOutcome.COMPLETE);
      assertThat(call(executor(table, FaultySender.Fault.NONE), "key", "body"))
          .isEqualTo(CallerOutcome.COMPLETE);
      assertThat(runs).hasValue(1);
    }

    @Test
    void withDifferentContentAreRejected() {
      InMemoryTable table = new InMemoryTable();
      AtMostOnceExecutor executor = executor(table, FaultySender.Fault.NONE);
      forward(executor, "key", "body", "first");
      assertThat(
              catchThrowableOfType(
                      MagnoliavaleException.class,
                      () -> forward(executor, "key", "other", "second"))
                  .code())
          .isEqualTo(ErrorCode.IDEMPOTENCY_KEY_REUSED);
      assertThat(runs).hasValue(1);
    }

    @Test
    void areRejectedWhileTheFirstIsInProgress() {
      InMemoryTable table = new InMemoryTable();
      call(
          executor(table, FaultySender.Fault.KILLED_BEFORE_FIRST_BYTE),
          "key",
          "body",
          KILLED_CALL_TIMEOUT_MS);
      assertThat(call(executor(table, FaultySender.Fault.NONE), "key", "body"))
          .isEqualTo(CallerOutcome.IN_PROGRESS);
    }
  }

  @Test
  void manyRequestsAreClaimedInFewTransactions() throws InterruptedException {
    SlowTable slow = new SlowTable(new InMemoryTable());
    AtMostOnceExecutor executor = executor(slow, FaultySender.Fault.NONE);
    int requests = 500;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      String key = "key-" + i;
      threads.add(Thread.startVirtualThread(() -> outcomeOf(executor, key, "body")));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(runs).hasValue(requests);
    assertThat(slow.commits()).isLessThan(requests);
  }
}
