package org.magnoliavale.internal.quota;

import java.time.Duration;
import java.util.Arrays;

/**
 * Units that were used within the last window. Time is cut into slots; the units of a slot count
 * until all of it is older than the window. Not thread-safe.
 */
final class UsageWindow {
  private static final int SLOTS = 160;

  private final double[] units = new double[SLOTS + 1];
  private final long slotNanos;
  private final long originNanos;
  private long newestSlot;
  private double total;

  /** Returns a window without use. */
  UsageWindow(Duration window, long nowNanos) {
    slotNanos = Math.max(1, window.toNanos() / SLOTS);
    originNanos = nowNanos;
  }

  /** Records units that are used now; negative ones are given back. */
  void add(double amount, long nowNanos) {
    advance(nowNanos);
    units[index(newestSlot)] += amount;
    total += amount;
  }

  /** Records units that were used evenly in a time that has passed. */
  void addEvenly(double amount, long fromNanos, long toNanos, long nowNanos) {
    advance(nowNanos);
    long first = Math.max(slot(Math.min(fromNanos, toNanos)), newestSlot - SLOTS);
    long last = Math.min(newestSlot, slot(toNanos));
    if (last < first) {
      return;
    }
    double amountOfSlot = amount / (last - first + 1);
    for (long slot = first; slot <= last; slot++) {
      units[index(slot)] += amountOfSlot;
    }
    total += amount;
  }

  /** Forgets what was used. */
  void clear() {
    Arrays.fill(units, 0);
    total = 0;
  }

  /** Returns the units used in the window. */
  double total(long nowNanos) {
    advance(nowNanos);
    return total;
  }

  /** Returns the units used since a time, which counts with its whole slot. */
  double since(long fromNanos, long nowNanos) {
    advance(nowNanos);
    double sum = 0;
    for (long slot = Math.max(slot(fromNanos), newestSlot - SLOTS); slot <= newestSlot; slot++) {
      sum += units[index(slot)];
    }
    return sum;
  }

  /** Returns the time until no more than {@code atMost} of the units in the window still count. */
  Duration timeUntil(double atMost, long nowNanos) {
    advance(nowNanos);
    double rest = total;
    long slot = newestSlot - SLOTS;
    while (rest > atMost && slot <= newestSlot) {
      rest -= units[index(slot)];
      slot++;
    }
    long slots = slot - (newestSlot - SLOTS);
    return Duration.ofNanos(slots * slotNanos);
  }

  private void advance(long nowNanos) {
    long slot = slot(nowNanos);
    if (slot - newestSlot > SLOTS) {
      clear();
      newestSlot = slot;
    }
    while (newestSlot < slot) {
      newestSlot++;
      total -= units[index(newestSlot)];
      units[index(newestSlot)] = 0;
    }
  }

  private long slot(long nanos) {
    return Math.floorDiv(nanos - originNanos, slotNanos);
  }

  private int index(long slot) {
    return (int) Math.floorMod(slot, (long) units.length);
  }
}
