package org.magnoliavale.internal.traffic;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads server-sent events from an input stream, one complete event at a time. */
final class EventReader {
  /** Maximum size of an event, in bytes. */
  static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

  /**
   * One event.
   *
   * @param raw the bytes as received, including the terminating empty line
   * @param id value of the id field, or empty
   * @param data value of the first data field, or empty
   */
  record Event(byte[] raw, String id, String data) {}

  private static final int BUFFER_BYTES = 4_096;
  private static final String ID_FIELD = "id:";
  private static final String DATA_FIELD = "data:";

  private final InputStream input;
  private final byte[] buffer = new byte[BUFFER_BYTES];
  private final ByteArrayOutputStream event = new ByteArrayOutputStream(256);
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
  private int position;
  private int limit;

  EventReader(InputStream input) {
    this.input = input;
  }

  /**
   * Returns the next event, or empty if the stream ended after a complete event.
   *
   * @throws IOException if reading fails, or the stream ends inside an event, or an event is larger
   *     than {@link #MAXIMUM_EVENT_BYTES}
   */
  Optional<Event> next() throws IOException {
    event.reset();
    String id = "";
    String data = "";
    while (readLine()) {
      event.write(line.toByteArray());
      if (event.size() > MAXIMUM_EVENT_BYTES) {
        throw new IOException("event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
      }
      String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
      if (text.isEmpty()) {
        return Optional.of(new Event(event.toByteArray(), id, data));
      }
      if (text.startsWith(ID_FIELD)) {
        id = text.substring(ID_FIELD.length()).strip();
      } else if (text.startsWith(DATA_FIELD) && data.isEmpty()) {
        data = text.substring(DATA_FIELD.length()).strip();
      }
    }
    if (event.size() > 0 || line.size() > 0) {
      throw new IOException("stream ends inside an event");
    }
    return Optional.empty();
  }

  /** Returns whether more bytes are buffered, so that the caller can batch its writes. */
  boolean hasBuffered() {
    return position < limit;
  }

  /** Reads one line including its terminator. Returns false at the end of the stream. */
  private boolean readLine() throws IOException {
    line.reset();
    while (position < limit || fill()) {
      byte next = buffer[position++];
      line.write(next);
      if (next == '\n') {
        return true;
      }
      if (line.size() > MAXIMUM_EVENT_BYTES) {
        throw new IOException("line exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
      }
    }
    return false;
  }

  private boolean fill() throws IOException {
    position = 0;
    limit = Math.max(0, input.read(buffer));
    return limit > 0;
  }
}
