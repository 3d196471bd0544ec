package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.containment.CrashCount;
import org.magnoliavale.internal.containment.CrashGuard;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.routing.Candidate;
import org.magnoliavale.internal.routing.EndpointLoad;
import org.magnoliavale.internal.routing.ModelName;
import org.magnoliavale.internal.routing.Router;
import org.magnoliavale.internal.routing.RoutingPolicy;
import org.magnoliavale.internal.routing.RoutingSnapshot;
import org.magnoliavale.internal.settings.EngineSettings;

class RetryTest {
  private static final AttemptResult CONNECTION_LOST = new AttemptResult.Failed("reset", true);
  private static final AttemptResult NOT_SENT = new AttemptResult.NotSent("refused");
  private static final String BODY = "{\"choices\":[]}";
  private static final EngineSettings SETTINGS =
      new EngineSettings(
          8,
          Duration.ofSeconds(1),
          Duration.ofSeconds(5),
          Duration.ofSeconds(5),
          Duration.ofSeconds(5),
          Duration.ofSeconds(1),
          1024);

  private final ScriptedSender sender = new ScriptedSender();
  private final RetryBudget budget = new RetryBudget();
  private final CrashRegistry crashes = new CrashRegistry("self", InstantSource.system());
  private final RequestTemplate template =
      new RequestTemplate("POST", "/v1/completions", HttpFields.EMPTY, "{}".getBytes(), false);
  private final Fingerprint fingerprint = Fingerprint.of("/v1/completions", "{}".getBytes());
  private final RoutingSnapshot snapshot = snapshot();
  private final List<String> probedIncarnations = new ArrayList<>();
  private boolean endpointCrashed = true;

  private static RoutingSnapshot snapshot() {
    StringBuilder text = new StringBuilder(TestDocuments.base());
    for (int i = 1; i <= 4; i++) {
      text.append(TestDocuments.endpoint("engine-" + i, i, 10, "checking"));
    }
    text.append(TestDocuments.model("menu", 5));
    Document document = DocumentReader.read("d.ini", text.toString(), 1);
    List<Candidate> candidates = new ArrayList<>();
    document
        .endpoints()
        .values()
        .forEach(
            endpoint ->
                candidates.add(new Candidate(endpoint, new EndpointLoad(), 1, Set.of(), 0)));
    return new RoutingSnapshot(
        document, Map.of(ModelName.parse("menu").model(), candidates), Map.of(), 1);
  }

  private BufferedResponse forward(Duration deadline) {
    EndpointSelector endpointSelector =
        new EndpointSelector(
            Router.of(RoutingPolicy.named("earliest-finish")),
            () -> snapshot,
            () -> RandomGeneratorFactory.of("L64X128MixRandom").create(1),
            new RoutingDecisionHistory());
    CrashGuard guard =
        new CrashGuard(
            crashes,
            (endpoint, incarnation) -> {
              probedIncarnations.add(incarnation);
              return endpointCrashed;
            });
    RequestContext context =
        new RequestContext(
            "request", System.nanoTime() + deadline.toNanos(), 0, RequestContext.ANONYMOUS, null);
    return new Forwarder(sender, SETTINGS, endpointSelector, budget, guard)
        .forward(context, new Target.OfModel(ModelName.parse("menu")), template);
  }

  private BufferedResponse forward() {
    return forward(Duration.ofSeconds(30));
  }

  private ErrorCode code() {
    return catchThrowableOfType(MagnoliavaleException.class, this::forward).code();
  }

  @Nested
  class FailedAttempt {
    @Test
    void isRetriedOnAnotherEndpoint() {
      sender
          .then(new AttemptResult.Failed("timeout", false))
          .then(ScriptedSender.response(200, BODY));
      assertThat(forward().status()).isEqualTo(200);
      assertThat(sender.sent()).extracting(AttemptRequest::endpoint).doesNotHaveDuplicates();
    }

    @Test
    void isRetriedUnderANewId() {
      sender.then(ScriptedSender.response(503, "")).then(ScriptedSender.response(200, BODY));
      forward();
      assertThat(sender.sent()).extracting(AttemptRequest::attemptId).doesNotHaveDuplicates();
    }

    @Test
    void isRetriedAtMostThreeTimes() {
      assertThat(code()).isEqualTo(ErrorCode.UPSTREAM_FAILED);
      assertThat(sender.sent()).hasSize(4);
    }

    @Test
    void isNotRetriedWithoutBudget() {
      while (budget.trySpend()) {
        assertThat(sender.sent()).isEmpty();
      }
      assertThat(code()).isEqualTo(ErrorCode.UPSTREAM_FAILED);
      assertThat(sender.sent()).hasSize(1);
    }
  }

  @Nested
  class UnsentAttempt {
    @Test
    void isRetriedWithoutBudget() {
      while (budget.trySpend()) {
        assertThat(sender.sent()).isEmpty();
      }
      sender.then(NOT_SENT).then(NOT_SENT).then(ScriptedSender.response(200, BODY));
      assertThat(forward().status()).isEqualTo(200);
      assertThat(sender.sent()).extracting(AttemptRequest::endpoint).doesNotHaveDuplicates();
    }
  }

  @Nested
  class IncompleteResponse {
    @Test
    void isNotForwarded() {
      sender
          .then(ScriptedSender.truncatedResponse("{\"cho"))
          .then(ScriptedSender.response(200, BODY));
      assertThat(new String(forward().body())).isEqualTo(BODY);
    }

    @Test
    void isDetectedAlthoughTheBodyIsTerminated() {
      sender.then(ScriptedSender.response(200, "{\"cho")).then(ScriptedSender.response(200, BODY));
      assertThat(new String(forward().body())).isEqualTo(BODY);
    }
  }

  @Nested
  class RequestThatCrashesEndpoints {
    @Test
    void isRejectedAtTheCrashLimit() {
      sender
          .then(CONNECTION_LOST)
          .then(CONNECTION_LOST)
          .then(CONNECTION_LOST)
          .then(ScriptedSender.response(200, BODY));
      assertThat(code()).isEqualTo(ErrorCode.REQUEST_CRASHES_ENDPOINTS);
      assertThat(sender.sent()).hasSize(CrashRegistry.CRASH_LIMIT);
    }

    @Test
    void isRejectedForCrashesSeenByOtherInstances() {
      crashes.merge("other", new CrashCount(fingerprint, Set.of("x@1", "y@1"), 0, false));
      sender.then(CONNECTION_LOST).then(ScriptedSender.response(200, BODY));
      assertThat(code()).isEqualTo(ErrorCode.REQUEST_CRASHES_ENDPOINTS);
      assertThat(sender.sent()).hasSize(1);
    }

    @Test
    void isNotCountedWhenOnlyTheConnectionWasLost() {
      endpointCrashed = false;
      sender
          .then(CONNECTION_LOST)
          .then(CONNECTION_LOST)
          .then(CONNECTION_LOST)
          .then(ScriptedSender.response(200, BODY));
      assertThat(forward().status()).isEqualTo(200);
      assertThat(crashes.crashes(fingerprint)).isZero();
    }

    @Test
    void isAttributedToTheIncarnationThatReceivedIt() {
      reportIncarnation("before");
      sender
          .then(CONNECTION_LOST)
          .whileSending(() -> reportIncarnation("after"))
          .then(ScriptedSender.response(200, BODY));
      forward();
      assertThat(probedIncarnations).containsExactly("before");
    }

    private void reportIncarnation(String incarnation) {
      EngineReport report =
          new EngineReport(incarnation, 1, 0, 0, false, 0, 0, 0, List.of(), List.of());
      snapshot
          .models()
          .values()
          .forEach(holders -> holders.forEach(holder -> holder.load().recordReport(report)));
    }

    @Test
    void isNoLongerSuspectAfterACompleteResponse() {
      sender.then(CONNECTION_LOST).then(CONNECTION_LOST).then(ScriptedSender.response(200, BODY));
      forward();
      assertThat(crashes.crashes(fingerprint)).isZero();
    }

    @Test
    void isNotSentToAnEndpointWithAnotherSuspect() {
      Set<Candidate> all = Set.copyOf(snapshot.models().values().iterator().next());
      crashes.merge("other", new CrashCount(fingerprint, Set.of("x@1"), 0, false));
      Candidate free = all.iterator().next();
      all.stream()
          .filter(candidate -> !candidate.equals(free))
          .forEach(
              candidate -> crashes.suspectSent(new Fingerprint("ab"), candidate.endpoint().id()));
      sender.then(ScriptedSender.response(200, BODY));
      forward();
      assertThat(sender.sent())
          .extracting(AttemptRequest::endpoint)
          .containsExactly(free.endpoint());
    }
  }

  @Test
  void deadlineEndsTheAttempts() {
    assertThat(
            catchThrowableOfType(MagnoliavaleException.class, () -> forward(Duration.ofNanos(1)))
                .code())
        .isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
    assertThat(sender.sent()).isEmpty();
  }
}
