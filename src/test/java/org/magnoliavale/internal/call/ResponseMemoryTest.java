package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against endless bodies of some endpoints that use up the memory of all calls. */
class ResponseMemoryTest extends CallFixture {
  private static final String PIECE = "x".repeat(16 << 10);
  private static final int CALLS = 50;
  private static final int PIECES = 100;

  private ScriptedConnector.Sent beginBody(RecordingCaller bodyCaller) {
    caller = bodyCaller;
    call("/unsafe/x");
    connector.last().begin(200);
    return connector.last();
  }

  @Test
  void endlessBodiesOfManyCallsStayWithinTheMemory() {
    List<RecordingCaller> callers = new ArrayList<>();
    List<ScriptedConnector.Sent> endless = new ArrayList<>();
    for (int number = 0; number < CALLS; number++) {
      callers.add(new RecordingCaller());
      endless.add(beginBody(callers.getLast()));
    }
    for (int piece = 0; piece < PIECES; piece++) {
      endless.forEach(sent -> sent.content(PIECE));
      assertThat(responseMemory.usedBytes()).isLessThanOrEqualTo(1 << 20);
    }
    assertThat(callers).allSatisfy(each -> assertThat(each.status()).isEqualTo(502));
    assertThat(endless).allSatisfy(sent -> assertThat(sent.isCancelled()).isTrue());
    assertThat(responseMemory.usedBytes()).isZero();
  }

  @Test
  void smallBodiesHaveRoomWhileTheMemoryIsFull() {
    assertThat(responseMemory.tryReserve(1 << 20)).isTrue();
    RecordingCaller small = new RecordingCaller();
    ScriptedConnector.Sent sent = beginBody(small);
    sent.content("done");
    sent.listener().onCompleted();
    assertThat(small.body()).isEqualTo("done");
  }

  @Test
  void roomOfABodyIsFreeAgainHoweverItsCallEnds() {
    ScriptedConnector.Sent whole = beginBody(new RecordingCaller());
    ScriptedConnector.Sent lost = beginBody(new RecordingCaller());
    ScriptedConnector.Sent late = beginBody(new RecordingCaller());
    List<ScriptedConnector.Sent> all = List.of(whole, lost, late);
    for (int piece = 0; piece < 10; piece++) {
      all.forEach(sent -> sent.content(PIECE));
    }
    assertThat(responseMemory.usedBytes()).isPositive();
    whole.listener().onCompleted();
    lost.failAfterSend();
    advance(10_000);
    assertThat(responseMemory.usedBytes()).isZero();
    assertThat(calls.size()).isZero();
  }
}
