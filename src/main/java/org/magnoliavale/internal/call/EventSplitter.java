package org.magnoliavale.internal.call;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries. Not thread-safe.
 *
 * <p>Bytes of an incomplete event are buffered until the event is complete.
 */
final class EventSplitter {
  /** Maximum size of a buffered event, in bytes. */
  static final int MAXIMUM_EVENT_BYTES = 1 << 20;

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private Optional<Long> lastId = Optional.empty();

  /** Adds received bytes and returns the events completed so far, possibly none. */
  ByteBuffer append(ByteBuffer bytes) {
    byte[] added = new byte[bytes.remaining()];
    bytes.get(added);
    pending.writeBytes(added);
    byte[] all = pending.toByteArray();
    int end = endOfCompleteEvents(all);
    pending.reset();
    pending.write(all, end, all.length - end);
    if (end > 0) {
      readIds(new String(all, 0, end, StandardCharsets.UTF_8));
    }
    return ByteBuffer.wrap(all, 0, end);
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return pending.size() > 0;
  }

  /** Returns whether the incomplete event exceeds {@link #MAXIMUM_EVENT_BYTES}. */
  boolean isOversized() {
    return pending.size() > MAXIMUM_EVENT_BYTES;
  }

  /** Returns the id of the last complete event that had a numeric id. */
  Optional<Long> lastId() {
    return lastId;
  }

  private static int endOfCompleteEvents(byte[] all) {
    int lineEnds = 0;
    for (int i = all.length - 1; i >= 0; i--) {
      if (all[i] == LINE_END) {
        lineEnds++;
        if (lineEnds == 2) {
          return endOfBlankLine(all, i);
        }
      } else if (all[i] != CARRIAGE_RETURN) {
        lineEnds = 0;
      }
    }
    return 0;
  }

  private static int endOfBlankLine(byte[] all, int firstLineEnd) {
    int next = firstLineEnd + 1;
    while (all[next] != LINE_END) {
      next++;
    }
    return next + 1;
  }

  private void readIds(String events) {
    for (String line : events.split("\n")) {
      if (line.startsWith(ID_FIELD)) {
        try {
          lastId = Optional.of(Long.parseLong(line.substring(ID_FIELD.length()).strip()));
        } catch (NumberFormatException e) {
          // A stream can only be resumed after a numeric id; the previous one stays valid.
          continue;
        }
      }
    }
  }
}
