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
  private static final AttemptStart CRASH = new AttemptStart.Failed("reset", true);
  private static final AttemptStart NOT_SENT = new AttemptStart.NotSent("refused");
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
  private final CallTemplate template =
      new CallTemplate("POST", "/v1/completions", HttpFields.EMPTY, "{}".getBytes(), false);
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

  private WholeAnswer forward(Duration deadline) {
    Routing routing =
        new Routing(
            Router.of(RoutingPolicy.named("earliest-finish")),
            () -> snapshot,
            () -> RandomGeneratorFactory.of("L64X128MixRandom").create(1),
            new DecisionMemory());
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
    return new Forwarder(sender, SETTINGS, routing, budget, guard)
        .whole(context, new Target.OfModel(ModelName.parse("menu")), template);
  }

  private WholeAnswer forward() {
    return forward(Duration.ofSeconds(30));
  }

  private ErrorCode code() {
    return catchThrowableOfType(MagnoliavaleException.class, this::forward).code();
  }

  @Nested
  class FailedAttempt {
    @Test
    void isRepeatedOnAnotherEndpoint() {
      sender.then(new AttemptStart.Failed("timeout", false)).then(ScriptedSender.whole(200, BODY));
      assertThat(forward().status()).isEqualTo(200);
      assertThat(sender.sent()).extracting(AttemptRequest::endpoint).doesNotHaveDuplicates();
    }

    @Test
    void hasAnIdOfItsOwn() {
      sender.then(ScriptedSender.whole(503, "")).then(ScriptedSender.whole(200, BODY));
      forward();
      assertThat(sender.sent()).extracting(AttemptRequest::attemptId).doesNotHaveDuplicates();
    }

    @Test
    void isNotRepeatedMoreThanThreeTimes() {
      assertThat(code()).isEqualTo(ErrorCode.UPSTREAM_FAILED);
      assertThat(sender.sent()).hasSize(4);
    }

    @Test
    void isNotRepeatedWithoutBudget() {
      while (budget.trySpend()) {
        assertThat(sender.sent()).isEmpty();
      }
      assertThat(code()).isEqualTo(ErrorCode.UPSTREAM_FAILED);
      assertThat(sender.sent()).hasSize(1);
    }
  }

  @Nested
  class AttemptOfWhichNothingWasSent {
    @Test
    void isRepeatedWithoutBudget() {
      while (budget.trySpend()) {
        assertThat(sender.sent()).isEmpty();
      }
      sender.then(NOT_SENT).then(NOT_SENT).then(ScriptedSender.whole(200, BODY));
      assertThat(forward().status()).isEqualTo(200);
      assertThat(sender.sent()).extracting(AttemptRequest::endpoint).doesNotHaveDuplicates();
    }
  }

  @Nested
  class AnswerThatIsNotWhole {
    @Test
    void isNeverPassedOn() {
      sender.then(ScriptedSender.cutAfter("{\"cho")).then(ScriptedSender.whole(200, BODY));
      assertThat(new String(forward().body())).isEqualTo(BODY);
    }

    @Test
    void isFoundOutAlthoughItEndsProperly() {
      sender.then(ScriptedSender.whole(200, "{\"cho")).then(ScriptedSender.whole(200, BODY));
      assertThat(new String(forward().body())).isEqualTo(BODY);
    }
  }

  @Nested
  class RequestThatCrashesEndpoints {
    @Test
    void isStoppedAfterTheLimit() {
      sender.then(CRASH).then(CRASH).then(CRASH).then(ScriptedSender.whole(200, BODY));
      assertThat(code()).isEqualTo(ErrorCode.REQUEST_CRASHES_ENDPOINTS);
      assertThat(sender.sent()).hasSize(CrashRegistry.CRASH_LIMIT);
    }

    @Test
    void countsCrashesAtOtherInstances() {
      crashes.merge("other", new CrashCount(fingerprint, 2, 0, false));
      sender.then(CRASH).then(ScriptedSender.whole(200, BODY));
      assertThat(code()).isEqualTo(ErrorCode.REQUEST_CRASHES_ENDPOINTS);
      assertThat(sender.sent()).hasSize(1);
    }

    @Test
    void isNotCountedWhenOnlyTheConnectionBroke() {
      endpointCrashed = false;
      sender.then(CRASH).then(CRASH).then(CRASH).then(ScriptedSender.whole(200, BODY));
      assertThat(forward().status()).isEqualTo(200);
      assertThat(crashes.crashes(fingerprint)).isZero();
    }

    @Test
    void isComparedWithTheIncarnationThatItWasSentTo() {
      reportEverywhere("before");
      sender
          .then(CRASH)
          .whileSending(() -> reportEverywhere("after"))
          .then(ScriptedSender.whole(200, BODY));
      forward();
      assertThat(probedIncarnations).containsExactly("before");
    }

    private void reportEverywhere(String incarnation) {
      EngineReport report =
          new EngineReport(incarnation, 1, 0, 0, false, 0, 0, 0, List.of(), List.of());
      snapshot
          .models()
          .values()
          .forEach(holders -> holders.forEach(holder -> holder.load().recordReport(report)));
    }

    @Test
    void isForgivenOnceItIsAnswered() {
      sender.then(CRASH).then(CRASH).then(ScriptedSender.whole(200, BODY));
      forward();
      assertThat(crashes.crashes(fingerprint)).isZero();
    }

    @Test
    void isNotSentWhereAnotherSuspectIs() {
      Set<Candidate> all = Set.copyOf(snapshot.models().values().iterator().next());
      crashes.merge("other", new CrashCount(fingerprint, 1, 0, false));
      Candidate free = all.iterator().next();
      all.stream()
          .filter(candidate -> !candidate.equals(free))
          .forEach(
              candidate -> crashes.suspectSent(new Fingerprint("ab"), candidate.endpoint().id()));
      sender.then(ScriptedSender.whole(200, BODY));
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
