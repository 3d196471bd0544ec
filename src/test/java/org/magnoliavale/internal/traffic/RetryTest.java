package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.containment.CrashCount;
import org.magnoliavale.internal.containment.CrashRegistry;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.routing.Candidate;
import org.magnoliavale.internal.routing.ModelName;

class RetryTest extends ForwarderFixture {
  private static final AttemptResult CONNECTION_LOST = new AttemptResult.Failed("reset", true);
  private static final AttemptResult NOT_SENT = new AttemptResult.NotSent("refused");
  private static final String BODY = "{\"choices\":[]}";
  private final RequestTemplate template =
      new RequestTemplate("POST", "/v1/completions", HttpFields.EMPTY, "{}".getBytes(), false);
  private final Fingerprint fingerprint = Fingerprint.of("/v1/completions", "{}".getBytes());

  private BufferedResponse forward(Duration deadline) {
    return forwarder()
        .forward(context(deadline), new Target.OfModel(ModelName.parse("menu")), template);
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
    void isDetectedIfTheBodyIsEmpty() {
      sender.then(ScriptedSender.response(200, "")).then(ScriptedSender.response(200, BODY));
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
