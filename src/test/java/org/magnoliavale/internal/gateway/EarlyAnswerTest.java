package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliavale.internal.call.ConnectionUse;
import org.magnoliavale.internal.http.UnreadBodyServer;

/** An endpoint answers before it has read the request, or after. */
class EarlyAnswerTest extends EndpointAnswerFixture {
  private static final String COMPLETED = "completed " + BODY;
  private static final String FAILED = "failed LOST";

  /** How an endpoint ends the connection after its answer. */
  enum Ending {
    SHUT_DOWN,
    CLOSED,
    RESET,
    KEPT_OPEN;

    void apply(UnreadBodyServer.Received request) throws Exception {
      switch (this) {
        case SHUT_DOWN -> request.shutDownOutput();
        case CLOSED -> request.close();
        case RESET -> request.reset();
        case KEPT_OPEN -> {}
      }
    }
  }

  private String outcome(UnreadBodyServer.Received request, Framing framing, Ending ending)
      throws Exception {
    request.send(framing.response(true));
    Runnable demand = attempt.awaitContent();
    demand.run();
    if (framing != Framing.CONNECTION) {
      attempt.awaitOutcome();
    }
    ending.apply(request);
    if (framing == Framing.CONNECTION && ending == Ending.KEPT_OPEN) {
      handle.cancel();
    }
    return attempt.awaitOutcome();
  }

  @Nested
  class BeforeTheBodyIsRead {
    /** Guards against a ready answer that is lost with the rest of its request. */
    @ParameterizedTest
    @CsvSource({
      "LENGTH,SHUT_DOWN", "LENGTH,CLOSED", "LENGTH,RESET", "LENGTH,KEPT_OPEN",
      "CHUNKS,SHUT_DOWN", "CHUNKS,CLOSED", "CHUNKS,RESET", "CHUNKS,KEPT_OPEN",
      "CONNECTION,SHUT_DOWN"
    })
    void isDeliveredIfItIsWhole(Framing framing, Ending ending) throws Exception {
      UnreadBodyServer.Received request =
          send("POST", UnreadBodyServer.LARGE_BODY_BYTES, ConnectionUse.POOLED);
      assertThat(outcome(request, framing, ending)).isEqualTo(COMPLETED);
      assertThat(attempt.end().requestSent()).isFalse();
    }

    @ParameterizedTest
    @EnumSource(
        value = Ending.class,
        names = {"RESET", "KEPT_OPEN"})
    void failsIfOnlyItsConnectionEndsIt(Ending ending) throws Exception {
      UnreadBodyServer.Received request =
          send("POST", UnreadBodyServer.LARGE_BODY_BYTES, ConnectionUse.POOLED);
      assertThat(outcome(request, Framing.CONNECTION, ending)).isEqualTo(FAILED);
    }

    /** Guards against a ready answer that is lost since the write failed just after its end. */
    @Test
    void isDeliveredIfAWriteFailsAfterItsLastByte() throws Exception {
      assertThat(outcomeIfAWriteFails(Framing.LENGTH)).isEqualTo(COMPLETED);
    }

    /** Guards against the same in chunks, whose end the client has received and not read. */
    @Tag("known-red")
    @Test
    void isDeliveredIfAWriteFailsAfterItsLastChunk() throws Exception {
      assertThat(outcomeIfAWriteFails(Framing.CHUNKS)).isEqualTo(COMPLETED);
    }

    private String outcomeIfAWriteFails(Framing framing) throws Exception {
      UnreadBodyServer.Received request =
          send("POST", UnreadBodyServer.LARGE_BODY_BYTES, ConnectionUse.POOLED);
      request.send(framing.response(true));
      attempt.awaitContent();
      request.reset();
      return attempt.awaitOutcome();
    }

    /** The orderly close is followed by a reset here; a write may meet it before the read. */
    @Test
    void isWholeOrFailsIfItsConnectionIsClosed() throws Exception {
      UnreadBodyServer.Received request =
          send("POST", UnreadBodyServer.LARGE_BODY_BYTES, ConnectionUse.POOLED);
      assertThat(outcome(request, Framing.CONNECTION, Ending.CLOSED)).isIn(COMPLETED, FAILED);
    }
  }

  @Nested
  class AfterTheBodyIsRead {
    @ParameterizedTest
    @CsvSource({
      "LENGTH,CLOSED", "LENGTH,RESET", "LENGTH,KEPT_OPEN",
      "CHUNKS,CLOSED", "CHUNKS,RESET", "CHUNKS,KEPT_OPEN",
      "CONNECTION,SHUT_DOWN", "CONNECTION,CLOSED"
    })
    void isDeliveredIfItIsWhole(Framing framing, Ending ending) throws Exception {
      UnreadBodyServer.Received request =
          send("POST", UnreadBodyServer.LARGE_BODY_BYTES, ConnectionUse.POOLED);
      request.readBody();
      assertThat(outcome(request, framing, ending)).isEqualTo(COMPLETED);
    }

    @ParameterizedTest
    @EnumSource(
        value = Ending.class,
        names = {"RESET", "KEPT_OPEN"})
    void failsIfOnlyItsConnectionEndsIt(Ending ending) throws Exception {
      UnreadBodyServer.Received request =
          send("POST", UnreadBodyServer.LARGE_BODY_BYTES, ConnectionUse.POOLED);
      request.readBody();
      assertThat(outcome(request, Framing.CONNECTION, ending)).isEqualTo(FAILED);
    }
  }
}
