package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.dispatch.TestEntries;

/** Calls at an instance that reaches no endpoint, while its peers do. */
class CutOffInstanceTest extends CallFixture {
  private final ScriptedPeers peers = new ScriptedPeers();

  @Override
  PeerCalls peers() {
    return peers;
  }

  private void rejectAtPeer(int status) {
    connector
        .last()
        .listener()
        .onResponseHead(
            status, HttpFields.build().put("X-Request-Attempt-Id", "id-1").put("Retry-After", "1"));
    connector.last().content("{}");
    connector.last().listener().onCompleted();
  }

  private String header(String name) {
    return connector.last().request().headers().get(name);
  }

  @Nested
  class NewCalls {
    @Test
    void areServedThroughAPeerAsTheirCallerSentThem() {
      peers.cutOff(true);
      call("/unsafe/x", "X-Other", "kept", "Connection", "keep-alive");
      assertThat(endpoints()).containsExactly("peer-1");
      assertThat(header("X-Request-Attempt-Id")).isEqualTo("id-1");
      assertThat(header("X-Time-Remaining")).isEqualTo("4000");
      assertThat(header("X-Other")).isEqualTo("kept");
      assertThat(header("Connection")).isNull();
      assertThat(header("X-Expected-Instance")).isNull();
      assertThat(header(PeerCalls.PROOF_HEADER)).isEqualTo("self:id-1");
      assertThat(connector.last().request().pathQuery()).isEqualTo("/unsafe/x?x=1");
      connector.last().respond(200, "done");
      assertThat(caller.status()).isEqualTo(200);
      assertThat(caller.body()).isEqualTo("done");
      assertThat(caller.headers().get("X-Response-Signature")).isEqualTo("signature-of-peer-1");
      assertThat(counter("calls_passed_to_peers")).isEqualTo(1);
    }

    @Test
    void thatAreStreamsGetTheirEventsThroughAPeer() {
      peers.cutOff(true);
      call("/stream/x");
      connector.last().beginChunked();
      connector.last().content("id: 1\ndata: a\n\n");
      assertThat(caller.body()).isEqualTo("id: 1\ndata: a\n\n");
      connector.last().listener().onCompleted();
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void thatTakeAStreamUpAreLeftToThePeerWithTheirHeaders() {
      peers.cutOff(true);
      call("/stream/x", "Last-Event-Id", "7", "Resumes", "id-0");
      assertThat(endpoints()).containsExactly("peer-1");
      assertThat(header("Last-Event-Id")).isEqualTo("7");
      assertThat(header("Resumes")).isEqualTo("id-0");
    }

    @Test
    void goToAnotherPeerIfOneRejectsThemOrCannotBeReached() {
      peers.add("peer-3");
      peers.cutOff(true);
      call("/unsafe/x");
      rejectAtPeer(503);
      connector.last().failBeforeSend();
      assertThat(endpoints()).containsExactly("peer-1", "peer-2", "peer-3");
      connector.last().respond(200, "done");
      assertThat(caller.status()).isEqualTo(200);
    }

    @Test
    void areRejectedAtOnceIfNoPeerTakesThem() {
      peers.cutOff(true);
      call("/unsafe/x");
      rejectAtPeer(503);
      rejectAtPeer(429);
      assertThat(caller.status()).isEqualTo(503);
      assertThat(caller.headers().contains("Retry-After")).isTrue();
    }

    @Test
    void thatComeFromAPeerAreNotPassedOnAgain() {
      peers.cutOff(true);
      call("/unsafe/x", PeerCalls.PROOF_HEADER, "other:id-1");
      assertThat(connector.sent()).isEmpty();
      assertThat(caller.status()).isEqualTo(503);
    }

    @Test
    void goToEndpointsAgainWhenTheseAreReached() {
      peers.cutOff(true);
      call("/safe/x");
      peers.cutOff(false);
      rejectAtPeer(503);
      assertThat(endpoints().getFirst()).isEqualTo("peer-1");
      assertThat(endpoints().getLast()).doesNotStartWith("peer");
    }
  }

  @Nested
  class CallsThatMayHaveRunThroughAPeer {
    @Test
    void areNeverSentAgain() {
      for (String path : new String[] {"/unsafe/x", "/safe/x"}) {
        peers.cutOff(true);
        connector.sent().clear();
        RecordingCaller own = new RecordingCaller();
        caller = own;
        call(path);
        connector.last().failAfterSend();
        assertThat(connector.sent()).hasSize(1);
        assertThat(own.status()).isEqualTo(502);
      }
    }

    @Test
    void countNoCrashAgainstThePeer() {
      peers.cutOff(true);
      call("/unsafe/x");
      connector.last().failAfterSend();
      assertThat(probed).isEmpty();
    }

    @Test
    void endWithThePeersOwnFailure() {
      peers.cutOff(true);
      call("/unsafe/x");
      connector
          .last()
          .listener()
          .onResponseHead(
              504,
              HttpFields.build().put("X-Request-Attempt-Id", "id-1").put("Content-Length", "2"));
      connector.last().content("{}");
      connector.last().listener().onCompleted();
      assertThat(caller.status()).isEqualTo(504);
    }
  }

  @Nested
  class CallsInProgressWhenTheCutBegins {
    @Test
    void goOnThroughAPeerIfTheyMayBeRepeated() {
      updateEndpoints(TestEntries.entry("a", 1, "m"));
      call("/safe/x");
      peers.cutOff(true);
      advance(500);
      assertThat(endpoints()).containsExactly("a", "peer-1");
      assertThat(connector.sent().getFirst().isCancelled()).isTrue();
    }

    @Test
    void goOnAfterTheLastEventIfTheyAreStreams() {
      updateEndpoints(TestEntries.entry("a", 1, "m"));
      call("/stream/x");
      connector.last().beginChunked();
      connector.last().content("id: 1\ndata: a\n\n");
      peers.cutOff(true);
      advance(1_300);
      assertThat(endpoints()).containsExactly("a", "peer-1");
      assertThat(header("Last-Event-Id")).isEqualTo("1");
      assertThat(header("Resumes")).isEqualTo("id-1");
      connector.last().beginChunked();
      connector.last().content("id: 2\ndata: b\n\n");
      connector.last().listener().onCompleted();
      assertThat(caller.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      assertThat(caller.ending()).isEqualTo("finished");
    }

    @Test
    void stayIfTheirConnectionGoesOn() {
      updateEndpoints(TestEntries.entry("a", 1, "m"));
      call("/stream/x");
      connector.last().beginChunked();
      connector.last().content("id: 1\ndata: a\n\n");
      peers.cutOff(true);
      advance(900);
      connector.last().content("id: 2\ndata: b\n\n");
      advance(900);
      assertThat(endpoints()).containsExactly("a");
    }

    @Test
    void stayIfTheyMayNotBeRepeated() {
      updateEndpoints(TestEntries.entry("a", 1, "m"));
      call("/unsafe/x");
      peers.cutOff(true);
      advance(3_000);
      assertThat(endpoints()).containsExactly("a");
    }
  }

  @Test
  void endpointsThatRefuseConnectionsInACutCountAsNoCrash() {
    updateEndpoints(TestEntries.entry("a", 1, "m"));
    call("/unsafe/x");
    peers.cutOff(true);
    connector.last().failBeforeSend();
    assertThat(peers.refusing()).extracting(EndpointIdentity::id).containsExactly("a");
    assertThat(endpoints()).containsExactly("a", "peer-1");
  }
}
