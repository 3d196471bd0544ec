package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.EndpointPool;
import org.magnoliavale.internal.dispatch.FleetRetryBudget;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.metrics.InstanceMetrics;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;
import org.magnoliavale.internal.route.WeightedService;
import org.magnoliavale.platform.TestProtocol;

class CallTest {
  private static final String EVENT_ONE = "id: 1\ndata: a\n\n";
  private static final String EVENT_TWO = "id: 2\ndata: b\n\n";
  private static final String EVENT_THREE = "id: 3\ndata: c\n\n";

  private long now = TimeUnit.SECONDS.toNanos(100);
  private double reserve = 1_000;
  private final ScriptedConnector connector = new ScriptedConnector();
  private final RecordingCaller caller = new RecordingCaller();
  private final EndpointPool pool = new EndpointPool("east", () -> 1, new Random(1));
  private CallRegistry calls;
  private RouteTable table;

  @BeforeEach
  void start() {
    list(TestEntries.entry("a", 1, "m"), TestEntries.entry("b", 1, "m"));
    table =
        RouteTable.of(
            1,
            List.of(
                route("/safe/", CallKind.SAFE, false, 2),
                route("/unsafe/", CallKind.UNSAFE, false, 1),
                route("/stream/", CallKind.STREAM, true, 2),
                route("/once/", CallKind.STREAM, false, 1)),
            List.of(new ServiceSpecification(TestEntries.SERVICE, 100, Optional.empty())),
            1_000);
    calls =
        new CallRegistry(
            new CallServices(
                TestProtocol.create(),
                connector,
                pool,
                new FleetRetryBudget(
                    0, reserve, TimeUnit.SECONDS.toNanos(10), () -> 1, now - (long) 1e12),
                new ArtifactDemand(() -> {}),
                new CrashWatch(new CrashRegistry("self", () -> java.time.Instant.EPOCH)),
                () -> table,
                new CallMetrics(new InstanceMetrics()),
                () -> now),
            new Random(1));
  }

  private void list(DirectoryEntry... entries) {
    pool.update(List.of(entries), now);
  }

  private static Route route(String prefix, CallKind kind, boolean resumable, int attempts) {
    return new Route(
        prefix,
        "menus.example",
        prefix,
        kind,
        resumable,
        0,
        attempts,
        Duration.ofSeconds(10),
        Duration.ofMillis(200),
        List.of(new WeightedService(TestEntries.SERVICE, 1)));
  }

  private Runnable call(String path, String... headers) {
    HttpFields.Mutable fields =
        HttpFields.build().put("X-Request-Attempt-Id", "id-1").put("X-Time-Remaining", "4000");
    for (int i = 0; i < headers.length; i += 2) {
      fields.put(headers[i], headers[i + 1]);
    }
    byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
    return calls.begin(
        new CallRequest("POST", "menus.example:80", path, path + "?x=1", fields, body, now),
        caller);
  }

  private void pass(long milliseconds) {
    now += TimeUnit.MILLISECONDS.toNanos(milliseconds);
    calls.tick();
  }

  private List<String> endpoints() {
    List<String> endpoints = new ArrayList<>();
    connector.sent().forEach(sent -> endpoints.add(sent.endpoint()));
    return endpoints;
  }

  @Nested
  class NonIdempotentCalls {
    @Test
    void areNotSentAgainAfterTheConnectionBrokeAndNotCalledNotRun() {
      call("/unsafe/x");
      connector.last().lose();
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.status()).isEqualTo(502);
    }

    @Test
    void areSentAgainAfterTheEndpointSaidThatItDidNotRunThem() {
      call("/unsafe/x");
      connector.last().refuse(503);
      assertThat(endpoints()).containsExactlyInAnyOrder("a", "b");
      connector.last().answer(200, "done");
      assertThat(caller.body()).isEqualTo("done");
    }

    @Test
    void areSentAgainWhenNoByteLeft() {
      call("/unsafe/x");
      connector.last().fail();
      connector.last().answer(200, "done");
      assertThat(caller.status()).isEqualTo(200);
    }

    @Test
    void areRefusedWhenEveryEndpointSaidThatItDidNotRunThem() {
      call("/unsafe/x");
      for (int i = 0; i < 10 && caller.status() == 0; i++) {
        connector.last().refuse(503);
        pass(50);
      }
      assertThat(caller.status()).isEqualTo(503);
      assertThat(caller.headers().get("Retry-After")).isNotNull();
    }

    @Test
    void endAs502WhenTheEndpointFailsWithAStatusThatWouldPromiseTheyDidNotRun() {
      call("/unsafe/x");
      connector.last().answer(503, "failed");
      assertThat(caller.status()).isEqualTo(502);
      assertThat(caller.headers().contains("X-Response-Signature")).isFalse();
    }

    @Test
    void getTheEndpointsOwnFailureUnchanged() {
      call("/unsafe/x");
      connector.last().answer(500, "failed");
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.status()).isEqualTo(500);
      assertThat(caller.body()).isEqualTo("failed");
    }

    @Test
    void endAs504AtTheirDeadlineWhenTheyWereSent() {
      call("/unsafe/x");
      pass(4_001);
      assertThat(caller.status()).isEqualTo(504);
      assertThat(connector.last().isCancelled()).isTrue();
    }
  }

  @Nested
  class Answers {
    @Test
    void ofAnotherAttemptNeverReachTheCaller() {
      call("/unsafe/x");
      connector
          .last()
          .listener()
          .began(
              200,
              HttpFields.build()
                  .put("X-Request-Attempt-Id", "id-0")
                  .put("X-Response-Signature", "s"));
      assertThat(caller.status()).isEqualTo(502);
      assertThat(connector.last().isCancelled()).isTrue();
    }

    @Test
    void thatAreCutShortNeverReachTheCaller() {
      call("/safe/x");
      connector.last().begin(200);
      connector.last().content("half");
      connector.last().lose();
      connector.last().answer(200, "whole");
      assertThat(caller.body()).isEqualTo("whole");
    }

    @Test
    void thatAreNotSignedNeverReachTheCaller() {
      call("/unsafe/x");
      connector
          .last()
          .listener()
          .began(200, HttpFields.build().put("X-Request-Attempt-Id", "id-1"));
      assertThat(caller.status()).isEqualTo(502);
    }

    @Test
    void keepTheSignatureOfTheirEndpoint() {
      call("/safe/x");
      connector.last().answer(200, "done");
      assertThat(caller.headers().get("X-Response-Signature"))
          .isEqualTo("signature-of-" + connector.last().endpoint());
    }
  }

  @Nested
  class Streams {
    @Test
    void passWholeEventsOnly() {
      call("/once/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE + "id: 2\nda");
      assertThat(caller.body()).isEqualTo(EVENT_ONE);
      connector.last().content("ta: b\n\n");
      connector.last().listener().completed();
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO);
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void goOnAfterTheLastWholeEventAtAnotherEndpoint() {
      call("/stream/x");
      String first = connector.last().endpoint();
      connector.last().begin(200);
      connector.last().content(EVENT_ONE + EVENT_TWO + "id: 3\nda");
      connector.last().lose();
      assertThat(connector.sent()).hasSize(2);
      assertThat(connector.last().order().headers().get("Last-Event-Id")).isEqualTo("2");
      connector.last().answer(200, EVENT_THREE);
      assertThat(caller.body()).isEqualTo(EVENT_ONE + EVENT_TWO + EVENT_THREE);
      assertThat(caller.headers().get("X-Response-Signature")).isEqualTo("signature-of-" + first);
    }

    @Test
    void thatCannotBeResumedAreBrokenOffVisibly() {
      call("/once/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE);
      connector.last().lose();
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.ending()).isEqualTo("aborted");
    }

    @Test
    void thatEndWithinAnEventDoNotLookComplete() {
      call("/once/x");
      connector.last().begin(200);
      connector.last().content(EVENT_ONE + "id: 2\nda");
      connector.last().listener().completed();
      assertThat(caller.ending()).isEqualTo("aborted");
    }

    @Test
    void areSentNoMoreOftenThanTheirRouteAllows() {
      call("/stream/x");
      connector.last().lose();
      connector.last().lose();
      assertThat(connector.sent()).hasSize(2);
      assertThat(caller.status()).isEqualTo(502);
    }
  }

  @Nested
  class Leaving {
    @Test
    void endsTheWorkBeforeTheFirstEvent() {
      Runnable leave = call("/stream/x");
      leave.run();
      assertThat(connector.last().isCancelled()).isTrue();
      assertThat(calls.size()).isZero();
    }

    @Test
    void endsAWaitForAnArtifact() {
      Runnable leave = call("/stream/x", "X-Model", "n");
      assertThat(connector.sent()).isEmpty();
      leave.run();
      list(TestEntries.entry("a", 2, "m", "n"));
      calls.endpointsChanged();
      assertThat(connector.sent()).isEmpty();
    }

    @Test
    void lateEventsOfAnAbandonedAttemptAreIgnored() {
      Runnable leave = call("/stream/x");
      leave.run();
      connector.last().answer(200, EVENT_ONE);
      assertThat(caller.body()).isEmpty();
      assertThat(caller.ending()).isEqualTo("aborted");
    }
  }

  @Nested
  class Artifacts {
    @Test
    void callIsSentAsSoonAsAnEndpointHoldsItsModel() {
      call("/stream/x", "X-Model", "n");
      assertThat(connector.sent()).isEmpty();
      list(TestEntries.entry("a", 2, "m", "n"));
      calls.endpointsChanged();
      assertThat(endpoints()).containsExactly("a");
    }

    @Test
    void endpointThatRefusedAnAdapterIsTriedAgainOnceItIsThere() {
      list(TestEntries.entry("a", 1, "m", "m/a1"));
      call("/stream/x", "X-Model", "m/a1");
      connector.last().refuse(421);
      assertThat(connector.sent()).hasSize(1);
      pass(100);
      assertThat(endpoints()).containsExactly("a", "a");
    }

    @Test
    void callThatWaitsTooLongIsToldToComeBack() {
      call("/stream/x", "X-Model", "n");
      pass(900);
      assertThat(caller.status()).isZero();
      pass(200);
      assertThat(caller.status()).isEqualTo(503);
      assertThat(caller.headers().get("Retry-After")).isNotNull();
    }
  }

  @Nested
  class Silence {
    @Test
    void ofAnEndpointMovesARepeatableStreamToAnother() {
      call("/stream/x");
      pass(1_000);
      pass(100);
      assertThat(connector.sent()).hasSize(2);
      assertThat(connector.sent().getFirst().isCancelled()).isTrue();
    }

    @Test
    void neverRepeatsANonIdempotentCall() {
      call("/unsafe/x");
      pass(3_000);
      assertThat(connector.sent()).hasSize(1);
      assertThat(connector.last().isCancelled()).isFalse();
    }
  }

  @Test
  void unknownRouteIsNotFoundAndMissingConfigurationIsUnavailable() {
    call("/other/x");
    assertThat(caller.status()).isEqualTo(404);
    table = null;
    RecordingCaller second = new RecordingCaller();
    calls.begin(
        new CallRequest(
            "GET", "menus.example", "/safe/", "/safe/", HttpFields.EMPTY, new byte[0], now),
        second);
    assertThat(second.status()).isEqualTo(503);
  }

  @Test
  void timeThatIsLeftIsToldToEveryEndpoint() {
    call("/safe/x");
    now += TimeUnit.MILLISECONDS.toNanos(100);
    connector.last().lose();
    assertThat(connector.sent().getFirst().order().headers().get("X-Time-Remaining"))
        .isEqualTo("4000");
    assertThat(connector.last().order().headers().get("X-Time-Remaining")).isEqualTo("3900");
  }
}
