package org.magnoliavale.internal.call;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Separates the complete events of a stream of server-sent events from a last, incomplete one. Not
 * thread-safe.
 *
 * <p>An event is complete at the blank line after it; lines end with LF or CR LF. Bytes after the
 * last blank line are buffered. The size of the buffer is not limited here: the caller must check
 * {@link #isOversized} after each {@link #append}.
 */
final class EventSplitter {
  /** Maximum size of an incomplete event, in bytes. */
  static final int MAXIMUM_EVENT_BYTES = 1 << 20;

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
  private Optional<Long> lastId = Optional.empty();
  private Optional<Long> previousId;
  private boolean outOfOrder;

  /**
   * Returns a splitter of a stream that goes on after an event.
   *
   * @param resumedAfter id of that event, empty for a stream that begins
   */
  EventSplitter(Optional<Long> resumedAfter) {
    this.previousId = resumedAfter;
  }

  /**
   * Adds received bytes and returns all buffered bytes up to the last blank line, possibly none.
   */
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

  /** Returns whether a numeric id was not greater than the one before it. */
  boolean isOutOfOrder() {
    return outOfOrder;
  }

  /** Returns the last numeric id in the events returned so far. */
  Optional<Long> lastId() {
    return lastId;
  }

  /** Returns the index after the last blank line that follows another line, or 0 for none. */
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
          readId(Long.parseLong(line.substring(ID_FIELD.length()).strip()));
        } catch (NumberFormatException e) {
          // A stream can only be resumed after a numeric id; the previous one stays valid.
          continue;
        }
      }
    }
  }

  private void readId(long id) {
    outOfOrder |= previousId.isPresent() && id <= previousId.get();
    previousId = Optional.of(id);
    lastId = previousId;
  }
}
