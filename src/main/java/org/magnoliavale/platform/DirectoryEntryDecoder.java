package org.magnoliavale.platform;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.directory.DirectoryEntry;

/**
 * Decodes the rows of successive reads of the directory. Workers rewrite their rows all the time,
 * and mostly only count on in {@code sequence}: the entry of such a row is that of the last read
 * with another count. Not thread-safe.
 */
final class DirectoryEntryDecoder {
  /**
   * A row that was decoded before.
   *
   * @param value its text in UTF-8
   * @param countStart where the digits of its count start in {@code value}
   * @param countEnd where they end
   */
  private record Known(byte[] value, int countStart, int countEnd, DirectoryEntry entry) {
    /** Returns the length of what follows the count. */
    int tailLength() {
      return value.length - countEnd;
    }
  }

  private static final byte[] COUNT_KEY = "sequence".getBytes(StandardCharsets.UTF_8);
  private static final byte[] AFTER_KEY = {'"', ':'};

  /** Most digits of a count that certainly fits into a long. */
  private static final int MAXIMUM_DIGITS = 18;

  private final Map<String, Known> known = new HashMap<>();

  /** Decodes a row; empty if it is malformed or not a worker's entry. */
  Optional<DirectoryEntry> decode(String id, byte[] value) {
    Known last = known.get(id);
    int countEnd = last == null ? -1 : endOfCount(last, value);
    if (countEnd < 0) {
      return decodeNew(id, value);
    }
    long count = parse(value, last.countStart(), countEnd);
    DirectoryEntry entry = last.entry().withHeartbeat(count);
    known.put(id, new Known(value, last.countStart(), countEnd, entry));
    return Optional.of(entry);
  }

  /** Forgets the rows that were not among those of the last read. */
  void retain(List<StoreClient.StoredRow> rows) {
    if (known.size() > rows.size()) {
      Set<String> keys = new HashSet<>();
      rows.forEach(row -> keys.add(row.key()));
      known.keySet().retainAll(keys);
    }
  }

  private Optional<DirectoryEntry> decodeNew(String id, byte[] value) {
    Optional<DirectoryEntry> entry = StoreDirectorySource.decodeEntry(id, value);
    known.remove(id);
    entry.ifPresent(decoded -> remember(id, value, decoded));
    return entry;
  }

  /** Keeps a row if it is certain which of its digits are the count. */
  private void remember(String id, byte[] value, DirectoryEntry entry) {
    int start = startOfCount(value);
    int end = start < 0 ? -1 : endOfDigits(value, start);
    boolean certain =
        end > start
            && end - start <= MAXIMUM_DIGITS
            && parse(value, start, end) == entry.heartbeat();
    if (certain) {
      known.put(id, new Known(value, start, end, entry));
    }
  }

  /** Returns where the value of the only key of this name starts; -1 if it is not certain. */
  private static int startOfCount(byte[] value) {
    int key = indexOf(COUNT_KEY, value, 0);
    int afterKey = key + COUNT_KEY.length;
    boolean certain =
        key > 1
            && value[key - 1] == '"'
            && value[key - 2] != '\\'
            && indexOf(COUNT_KEY, value, afterKey) < 0
            && startsWith(AFTER_KEY, value, afterKey);
    return certain ? afterKey + AFTER_KEY.length : -1;
  }

  private static int indexOf(byte[] text, byte[] value, int from) {
    for (int index = from; index <= value.length - text.length; index++) {
      if (startsWith(text, value, index)) {
        return index;
      }
    }
    return -1;
  }

  private static boolean startsWith(byte[] text, byte[] value, int index) {
    int end = index + text.length;
    return end <= value.length && Arrays.equals(value, index, end, text, 0, text.length);
  }

  /**
   * Returns where the count ends in a text that differs from a known one in nothing else, or -1.
   */
  private static int endOfCount(Known last, byte[] value) {
    int start = last.countStart();
    if (value.length <= start || !Arrays.equals(last.value(), 0, start, value, 0, start)) {
      return -1;
    }
    int end = endOfDigits(value, start);
    boolean number =
        end > start && end - start <= MAXIMUM_DIGITS && (value[start] != '0' || end == start + 1);
    boolean sameTail =
        value.length - end == last.tailLength()
            && Arrays.equals(
                last.value(), last.countEnd(), last.value().length, value, end, value.length);
    return number && sameTail ? end : -1;
  }

  private static int endOfDigits(byte[] value, int start) {
    int end = start;
    while (end < value.length && value[end] >= '0' && value[end] <= '9') {
      end++;
    }
    return end;
  }

  private static long parse(byte[] value, int start, int end) {
    long number = 0;
    for (int index = start; index < end; index++) {
      number = number * 10 + (value[index] - '0');
    }
    return number;
  }
}
