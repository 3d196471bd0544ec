package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class EventReaderTest {
  private static EventReader reader(String text) {
    return new EventReader(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void readsIdAndDataOfEachEvent() throws IOException {
    EventReader reader = reader("id: 4\ndata: a\n\ndata: [DONE]\n\n");
    EventReader.Event first = reader.next().orElseThrow();
    assertThat(first.id()).isEqualTo("4");
    assertThat(first.data()).isEqualTo("a");
    assertThat(new String(first.raw(), StandardCharsets.UTF_8)).isEqualTo("id: 4\ndata: a\n\n");
    assertThat(reader.next().orElseThrow().data()).isEqualTo("[DONE]");
    assertThat(reader.next()).isEmpty();
  }

  @Test
  void failsOnAStreamThatEndsInsideAnEvent() {
    assertThatThrownBy(() -> reader("id: 4\ndata: a\n").next())
        .isInstanceOf(IOException.class)
        .hasMessage("stream ends inside an event");
  }

  @Test
  void failsOnAnEventThatExceedsTheMaximumSize() {
    String oversized = "data: " + "x".repeat(EventReader.MAXIMUM_EVENT_BYTES);
    assertThatThrownBy(() -> reader(oversized).next()).isInstanceOf(IOException.class);
  }

  @Property(seed = "1", tries = 300)
  void endsOrFailsOnAnyText(@ForAll String text) {
    EventReader reader = reader(text);
    try {
      while (reader.next().isPresent()) {
        assertThat(text).isNotEmpty();
      }
    } catch (IOException e) {
      assertThat(e).hasMessageContaining("stream ends");
    }
  }
}
