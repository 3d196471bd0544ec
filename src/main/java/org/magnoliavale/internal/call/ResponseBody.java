package org.magnoliavale.internal.call;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a response that is kept until it is complete. A small body always has room; a larger
 * one takes its room from the memory of all bodies. Guarded by its call.
 */
final class ResponseBody {
  /** Maximum size of a body, in bytes. */
  private static final int MAXIMUM_BYTES = 16 << 20;

  /** Size up to which a body takes no room from the memory of all, in bytes. */
  private static final int SMALL_BYTES = 64 << 10;

  private final ResponseMemory memory;
  private final List<byte[]> pieces = new ArrayList<>();
  private int size;
  private long reserved;

  ResponseBody(ResponseMemory memory) {
    this.memory = memory;
  }

  int size() {
    return size;
  }

  /** Returns whether the body takes no room from the memory of all, so that it may be kept. */
  boolean isSmall() {
    return size <= SMALL_BYTES;
  }

  /** Appends received bytes; returns false if there is no room for them. */
  boolean append(ByteBuffer bytes) {
    int added = bytes.remaining();
    if (size + added > MAXIMUM_BYTES || !reserve(added)) {
      return false;
    }
    byte[] piece = new byte[added];
    bytes.get(piece);
    pieces.add(piece);
    size += added;
    return true;
  }

  private boolean reserve(int added) {
    if (size + added <= SMALL_BYTES) {
      return true;
    }
    if (!memory.tryReserve(added)) {
      return false;
    }
    reserved += added;
    return true;
  }

  /** Returns the whole body and releases its room. */
  ByteBuffer takeAll() {
    ByteBuffer all = ByteBuffer.allocate(size);
    pieces.forEach(all::put);
    release();
    return all.flip();
  }

  /** Forgets the body and releases its room. */
  void release() {
    pieces.clear();
    memory.release(reserved);
    reserved = 0;
  }
}
