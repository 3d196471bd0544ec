package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.containment.CrashKeys;
import org.magnoliavale.internal.containment.Fingerprint;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.TestEntries;

class CrashingSegmentTest extends CallFixture {
  private int requests;
  private int restarts = 1;

  /** Sends a request that no other one is alike, with a segment after a common one. */
  private void request(String segment) {
    requests++;
    caller = new RecordingCaller();
    call(
        "/stream/" + requests,
        "X-Model",
        "m",
        "X-Token-Counts",
        "30,10",
        "X-Prompt-Prefix",
        "common:10," + segment + ":10,own-" + requests + ":10");
  }

  private void answerLast() {
    connector.last().begin(200);
    connector.last().content(EVENT_ONE);
    connector.last().listener().onCompleted();
  }

  /** Lets both endpoints crash under the attempts of one request, and start again. */
  private void crashEndpointsWith(String segment) {
    request(segment);
    connector.last().failAfterSend();
    connector.last().failAfterSend();
    restarts++;
    DirectoryEntry first = TestEntries.incarnation("a", restarts, "m");
    DirectoryEntry second = TestEntries.incarnation("b", restarts, "m");
    updateEndpoints(first, second);
    crashDetector.endpointsListed(List.of(first.identity(), second.identity()), now);
  }

  @Test
  void requestWithASegmentThatCrashedFiveEndpointsIsRejectedUnsent() {
    for (int i = 0; i < 3; i++) {
      crashEndpointsWith("deadly");
    }
    int sent = connector.sent().size();
    assertThat(sent).isLessThanOrEqualTo(5);
    request("deadly");
    assertThat(connector.sent()).hasSize(sent);
    assertThat(caller.status()).isEqualTo(503);
  }

  @Test
  void soundRequestsWithTheSameFirstSegmentAreSent() {
    request("sound");
    answerLast();
    crashEndpointsWith("deadly");
    crashEndpointsWith("deadly");
    request("sound");
    answerLast();
    request("deadly");
    int sent = connector.sent().size();
    request("other");
    assertThat(connector.sent()).hasSize(sent + 1);
    assertThat(connector.last().request().pathQuery()).startsWith("/stream/" + requests);
  }

  @Test
  void requestThatWaitsForItsModelIsRejectedUnsentOnceItsSegmentIsBlocked() {
    updateEndpoints();
    updateEndpoints(TestEntries.entry("a", 1), TestEntries.entry("b", 1));
    request("deadly");
    assertThat(connector.sent()).isEmpty();
    for (int crash = 1; crash <= 3; crash++) {
      crashElsewhere("deadly", crash);
    }
    updateEndpoints(TestEntries.entry("a", 2, "m"), TestEntries.entry("b", 2, "m"));
    advance(50);
    assertThat(connector.sent()).isEmpty();
    assertThat(caller.status()).isEqualTo(503);
  }

  private void crashElsewhere(String segment, int crash) {
    DirectoryEntry endpoint = TestEntries.entry("elsewhere-" + crash, 1);
    crashDetector.connectionLost(
        new CrashKeys(
            Fingerprint.of("/" + crash, new byte[0]), List.of(Fingerprint.ofSegment(segment))),
        endpoint,
        now);
    crashDetector.endpointDown(endpoint.identity(), now);
  }
}
