package org.magnoliavale.internal.collection;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map with a maximum size. A new entry beyond that size evicts the eldest one. Not thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maximumSize;

  private BoundedMap(int maximumSize, boolean accessOrder) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, accessOrder);
    this.maximumSize = maximumSize;
  }

  /** Returns a map that evicts the entry that was inserted first. */
  public static <K, V> BoundedMap<K, V> evictingEldest(int maximumSize) {
    return new BoundedMap<>(maximumSize, false);
  }

  /** Returns a map that evicts the least recently used entry. */
  public static <K, V> BoundedMap<K, V> evictingLeastRecentlyUsed(int maximumSize) {
    return new BoundedMap<>(maximumSize, true);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maximumSize;
  }
}
