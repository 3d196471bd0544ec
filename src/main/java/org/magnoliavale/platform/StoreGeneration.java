package org.magnoliavale.platform;

import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;
import org.jboss.logging.Logger;
import org.magnoliavale.internal.logging.Logs;

/**
 * The generation of the store's contents, which grows each time the store comes back from a copy:
 * what was written after the copy is gone then, and versions are given out again. Thread-safe.
 */
final class StoreGeneration {
  /** The store's name for it, in the headers of all answers. */
  static final String HEADER = "Store-Era";

  /** Generation of a store that names none. */
  static final long NONE = 0;

  /** Highest generation that is believed. */
  static final long MAXIMUM = 32_767;

  private static final Logger LOG = Logs.of("store");
  private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

  private final AtomicLong newest = new AtomicLong(NONE);

  /** Returns the newest generation that an answer has named. */
  long newest() {
    return newest.get();
  }

  /** Records the generation that an answer names; returns it, or the newest if it names none. */
  long observe(HttpFields headers) {
    long generation = decode(headers.get(HEADER));
    if (generation == NONE) {
      return newest.get();
    }
    long previous = newest.getAndUpdate(known -> Math.max(known, generation));
    if (generation > previous) {
      LOG.infof("Store generation changed. generation=%d previous=%d", generation, previous);
    }
    return generation;
  }

  private static long decode(String value) {
    if (value == null || !NUMBER.matcher(value.strip()).matches()) {
      return NONE;
    }
    long generation = Long.parseLong(value.strip());
    return generation <= MAXIMUM ? generation : NONE;
  }
}
