package org.magnoliavale.internal.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EventSplitterTest {
  @ParameterizedTest
  @CsvSource({
    "'id: 1|data: a||', 1",
    "'id: 1|data: a||id: 2|data: b||', 2",
    "'data: a||||data: b||', 2",
    "'id: 1|data: a||id: 2|da', 1",
    "'id: 1|da', 0"
  })
  void countsTheEventsThatItReturns(String text, int events) {
    for (String lineEnd : new String[] {"\n", "\r\n"}) {
      EventSplitter splitter = new EventSplitter(Optional.empty());
      splitter.append(ByteBuffer.wrap(text.replace("|", lineEnd).getBytes(StandardCharsets.UTF_8)));
      assertThat(splitter.lastCount()).isEqualTo(events);
    }
  }
}
