package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * An endpoint writes an earlier rejection once more on a kept connection, where the next answer is
 * due. Guards against taking it for the answer to a second sending of the same call, which has run.
 */
class LateAnswerTest extends GatewayFixture {
  private static final String NOT_EXECUTED = "X-Not-Executed: full";

  @Test
  void lateCopyOfARejectionIsNoAnswerToTheNextSendingOfItsCall() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/unsafe/x", "id-1");
      RawEndpoint.ReceivedRequest first = endpoint.nextRequest();
      String rejection = first.response(503, "", NOT_EXECUTED);
      first.send(rejection);
      RawEndpoint.ReceivedRequest second = endpoint.nextRequest();
      if (second.sharesConnectionWith(first)) {
        second.send(rejection);
      }
      second.send(second.response(200, "done", "X-Response-Signature: s"));
      assertThat(readUntil(caller, "done")).contains(" 200 ").endsWith("done");
    }
  }

  @Test
  void connectionOfASecondSendingIsNotUsedAgain() throws Exception {
    try (Socket caller = connect()) {
      send(caller, "/unsafe/x", "id-1");
      RawEndpoint.ReceivedRequest first = endpoint.nextRequest();
      first.send(first.response(503, "", NOT_EXECUTED));
      RawEndpoint.ReceivedRequest second = endpoint.nextRequest();
      second.send(second.response(200, "done", "X-Response-Signature: s"));
      readUntil(caller, "done");
      assertThat(second.awaitClose()).isTrue();
      send(caller, "/unsafe/y", "id-2");
      RawEndpoint.ReceivedRequest third = endpoint.nextRequest();
      assertThat(third.sharesConnectionWith(first)).isTrue();
      third.send(third.response(200, "next", "X-Response-Signature: s"));
      assertThat(readUntil(caller, "next")).endsWith("next");
    }
  }
}
