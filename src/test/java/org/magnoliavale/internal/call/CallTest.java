package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.dispatch.TestEntries;

class CallTest extends CallFixture {
  @Nested
  class NonIdempotentCalls {
    @Test
    void failWith502AndAreNotRetriedAfterALostConnection() {
      call("/unsafe/x");
      connector.last().failAfterSend();
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.status()).isEqualTo(502);
    }

    @Test
    void areRetriedIfTheEndpointDidNotExecuteThem() {
      call("/unsafe/x");
      connector.last().respondNotExecuted(503);
      assertThat(endpoints()).containsExactlyInAnyOrder("a", "b");
      connector.last().respond(200, "done");
      assertThat(caller.body()).isEqualTo("done");
    }

    @Test
    void areRetriedIfNoByteWasSent() {
      call("/unsafe/x");
      connector.last().failBeforeSend();
      connector.last().respond(200, "done");
      assertThat(caller.status()).isEqualTo(200);
    }

    @Test
    void areRejectedIfNoEndpointExecutedThem() {
      call("/unsafe/x");
      for (int i = 0; i < 10 && caller.status() == 0; i++) {
        connector.last().respondNotExecuted(503);
        advance(50);
      }
      assertThat(caller.status()).isEqualTo(503);
      assertThat(caller.headers().get("Retry-After")).isNotNull();
    }

    @Test
    void failWith502IfTheEndpointAnswers503AndMayHaveExecutedThem() {
      call("/unsafe/x");
      connector.last().respond(503, "failed");
      assertThat(caller.status()).isEqualTo(502);
      assertThat(caller.headers().contains("X-Response-Signature")).isFalse();
    }

    @Test
    void receiveTheEndpointsErrorResponseUnchanged() {
      call("/unsafe/x");
      connector.last().respond(500, "failed");
      assertThat(connector.sent()).hasSize(1);
      assertThat(caller.status()).isEqualTo(500);
      assertThat(caller.body()).isEqualTo("failed");
    }

    @Test
    void failWith504AtTheirDeadlineAfterBeingSent() {
      call("/unsafe/x");
      advance(4_001);
      assertThat(caller.status()).isEqualTo(504);
      assertThat(connector.last().isCancelled()).isTrue();
    }
  }

  @Nested
  class Responses {
    @Test
    void ofAnotherAttemptNeverReachTheCaller() {
      call("/unsafe/x");
      connector
          .last()
          .listener()
          .onResponseHead(
              200,
              HttpFields.build()
                  .put("X-Request-Attempt-Id", "id-0")
                  .put("X-Response-Signature", "s"));
      assertThat(caller.status()).isEqualTo(502);
      assertThat(connector.last().isCancelled()).isTrue();
    }

    @Test
    void thatAreTruncatedNeverReachTheCaller() {
      call("/safe/x");
      connector.last().begin(200);
      connector.last().content("half");
      connector.last().failAfterSend();
      connector.last().respond(200, "whole");
      assertThat(caller.body()).isEqualTo("whole");
    }

    @Test
    void thatAreNotSignedNeverReachTheCaller() {
      call("/unsafe/x");
      connector
          .last()
          .listener()
          .onResponseHead(200, HttpFields.build().put("X-Request-Attempt-Id", "id-1"));
      assertThat(caller.status()).isEqualTo(502);
    }

    @Test
    void keepTheSignatureOfTheirEndpoint() {
      call("/safe/x");
      connector.last().respond(200, "done");
      assertThat(caller.headers().get("X-Response-Signature"))
          .isEqualTo("signature-of-" + connector.last().endpoint());
    }
  }

  @Nested
  class SecondSendingToTheSameEndpoint {
    @Test
    void usesAConnectionOfItsOwnAfterAllEndpointsWereFull() {
      call("/unsafe/x");
      connector.last().respondNotExecuted(503);
      connector.last().respondNotExecuted(503);
      advance(150);
      assertThat(endpoints()).hasSize(3);
      assertThat(connector.sent().get(0).request().connection()).isEqualTo(ConnectionUse.POOLED);
      assertThat(connector.sent().get(1).request().connection()).isEqualTo(ConnectionUse.POOLED);
      assertThat(connector.sent().get(2).request().connection()).isEqualTo(ConnectionUse.OWN);
    }

    @Test
    void usesAConnectionOfItsOwnAfterAMissingAdapterWasLoaded() {
      updateEndpoints(TestEntries.entry("a", 1, "m", "m/a1"));
      call("/stream/x", "X-Model", "m/a1");
      connector.last().respondNotExecuted(421);
      advance(100);
      assertThat(endpoints()).containsExactly("a", "a");
      assertThat(connector.last().request().connection()).isEqualTo(ConnectionUse.OWN);
    }
  }

  @Nested
  class CallerDisconnect {
    @Test
    void cancelsTheAttemptBeforeTheFirstEvent() {
      Runnable disconnect = call("/stream/x");
      disconnect.run();
      assertThat(connector.last().isCancelled()).isTrue();
      assertThat(calls.size()).isZero();
    }

    @Test
    void endsAWaitForAnArtifact() {
      Runnable disconnect = call("/stream/x", "X-Model", "n");
      assertThat(connector.sent()).isEmpty();
      disconnect.run();
      updateEndpoints(TestEntries.entry("a", 2, "m", "n"));
      calls.endpointsChanged();
      assertThat(connector.sent()).isEmpty();
    }

    @Test
    void lateEventsOfAnAbandonedAttemptAreIgnored() {
      Runnable disconnect = call("/stream/x");
      disconnect.run();
      connector.last().respond(200, EVENT_ONE);
      assertThat(caller.body()).isEmpty();
      assertThat(caller.ending()).isEqualTo("aborted");
    }
  }

  @Nested
  class Stopping {
    @Test
    void rejectsWaitingCallsAndNewStreamsThatItMightCutOff() {
      call("/stream/x", "X-Model", "n");
      calls.rejectCallsAfter(now + TimeUnit.SECONDS.toNanos(5));
      assertThat(caller.status()).isEqualTo(503);
      RecordingCaller second = new RecordingCaller();
      HttpFields fields = HttpFields.build().put("X-Request-Attempt-Id", "id-2");
      calls.begin(
          new CallRequest(
              "POST", "menus.example", "/stream/y", "/stream/y", fields, new byte[0], now),
          second);
      assertThat(second.status()).isEqualTo(503);
      assertThat(connector.sent()).isEmpty();
    }

    @Test
    void rejectsAllNewCallsInItsLastPhase() {
      calls.rejectAll();
      call("/safe/x");
      assertThat(caller.status()).isEqualTo(503);
      assertThat(connector.sent()).isEmpty();
    }

    @Test
    void letsCallsInProgressFinish() {
      call("/stream/x");
      calls.rejectCallsAfter(now);
      connector.last().respond(200, EVENT_ONE);
      assertThat(caller.ending()).isEqualTo("finished");
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
  void remainingTimeIsSentToEveryEndpoint() {
    call("/safe/x");
    now += TimeUnit.MILLISECONDS.toNanos(100);
    connector.last().failAfterSend();
    assertThat(connector.sent().getFirst().request().headers().get("X-Time-Remaining"))
        .isEqualTo("4000");
    assertThat(connector.last().request().headers().get("X-Time-Remaining")).isEqualTo("3900");
  }

  /** Guards against a run that nobody waits for, of a request that was read too slowly. */
  @ParameterizedTest
  @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/once/x"})
  void requestThatIsReadAfterItsDeadlineIsRejectedAndNotSent(String path) {
    onNextClockReading = () -> now += TimeUnit.SECONDS.toNanos(4);
    call(path);
    assertThat(connector.sent()).isEmpty();
    assertThat(caller.status()).isEqualTo(503);
    assertThat(calls.size()).isZero();
  }

  @Test
  void callIsSentOnceIfEndpointsChangeWhileItStarts() {
    onNextClockReading = calls::endpointsChanged;
    call("/unsafe/x");
    assertThat(connector.sent()).hasSize(1);
  }
}
