package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Endpoints that turn a call away and want no further one for a time. */
class PausedEndpointTest extends CallFixture {
  private static final HttpFields PAUSE =
      HttpFields.build()
          .put("X-Request-Attempt-Id", "id-1")
          .put("X-Not-Executed", "1")
          .put("Retry-After", "4")
          .asImmutable();

  private void askForPause() {
    connector.last().listener().onResponseHead(503, PAUSE);
    connector.last().listener().onCompleted();
  }

  private void callAgain(String path) {
    caller = new RecordingCaller();
    call(path);
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/", "/unsafe/", "/stream/"})
  void getNoCallUntilTheTimeIsOver(String path) {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call(path);
    askForPause();
    for (int waitedMs = 0; waitedMs < 4_000; waitedMs += 50) {
      callAgain(path);
      assertThat(caller.status()).isEqualTo(503);
      advance(50);
    }
    assertThat(connector.sent()).hasSize(1);
    callAgain(path);
    assertThat(connector.sent()).hasSize(2);
  }

  @Test
  void getNoSecondTryOfTheCallThatTheyTurnedAway() {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/unsafe/");
    askForPause();
    advance(50);
    assertThat(caller.status()).isEqualTo(503);
    assertThat(connector.sent()).hasSize(1);
  }

  @Test
  void callersAreToldWhenTheFirstPauseIsOver() {
    call("/unsafe/");
    askForPause();
    advance(1_000);
    askForPause();
    advance(50);
    callAgain("/unsafe/");
    assertThat(caller.status()).isEqualTo(503);
    // A third of the caller's 4 s is the longest delay that callers follow.
    assertThat(Double.parseDouble(caller.headers().get("Retry-After"))).isBetween(1.0, 1.34);
  }

  @Test
  void callUnderWayGoesOn() {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/stream/");
    ScriptedConnector.Sent underWay = connector.last();
    underWay.beginChunked();
    call("/unsafe/");
    askForPause();
    underWay.content(EVENT_ONE);
    advance(500);
    assertThat(underWay.isCancelled()).isFalse();
  }

  @Test
  void shorterPauseDoesNotEndALongerOne() {
    updateEndpoints(TestEntries.entry("a", 2, "m"));
    call("/unsafe/");
    ScriptedConnector.Sent first = connector.last();
    callAgain("/unsafe/");
    askForPause();
    HttpFields shorter = HttpFields.build(PAUSE).put("Retry-After", "0.1");
    first.listener().onResponseHead(503, shorter);
    first.listener().onCompleted();
    advance(1_000);
    callAgain("/unsafe/");
    assertThat(connector.sent()).hasSize(2);
  }

  @Test
  void manyCallersDoNotReachThem() {
    Random random = new Random(1);
    long pausedUntil = 0;
    String paused = "";
    for (int i = 0; i < 2_000; i++) {
      advance(random.nextInt(20));
      callAgain(random.nextBoolean() ? "/safe/" : "/unsafe/");
      if (now < pausedUntil) {
        assertThat(connector.last().endpoint()).isNotEqualTo(paused);
        connector.last().respond(200, "ok");
      } else {
        paused = connector.last().endpoint();
        pausedUntil = now + TimeUnit.SECONDS.toNanos(4);
        askForPause();
        connector.last().respond(200, "ok");
      }
      assertThat(caller.status()).isEqualTo(200);
    }
  }
}
