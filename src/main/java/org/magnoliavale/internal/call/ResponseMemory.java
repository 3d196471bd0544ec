package org.magnoliavale.internal.call;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory of all response bodies together that an instance keeps until they are complete. Without a
 * common bound, some faulty endpoints whose bodies do not end would use up the heap. Thread-safe.
 */
public final class ResponseMemory {
  /** Part of the heap that large bodies may use. */
  private static final int HEAP_PARTS = 6;

  private final long limitBytes;
  private final AtomicLong usedBytes = new AtomicLong();

  /** Returns a memory of a number of bytes. */
  public ResponseMemory(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns a memory of a sixth of the largest heap of this process. */
  public static ResponseMemory ofHeap() {
    return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_PARTS);
  }

  /** Reserves memory; returns whether there was enough. */
  boolean tryReserve(long bytes) {
    if (usedBytes.addAndGet(bytes) <= limitBytes) {
      return true;
    }
    usedBytes.addAndGet(-bytes);
    return false;
  }

  void release(long bytes) {
    usedBytes.addAndGet(-bytes);
  }

  long usedBytes() {
    return usedBytes.get();
  }
}
