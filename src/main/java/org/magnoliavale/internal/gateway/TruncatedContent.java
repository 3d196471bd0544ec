package org.magnoliavale.internal.gateway;

import java.nio.ByteBuffer;
import org.eclipse.jetty.io.Content;

/**
 * The first bytes of a request body. The rest is read and discarded, since a connection that is
 * closed with unread bytes is reset, and its caller may then lose the response.
 */
final class TruncatedContent implements Content.Source {
  /** Size of a body from which it is not read any further. */
  private static final long MAXIMUM_READ_BYTES = 64L << 20;

  private final Content.Source body;
  private final long limitBytes;
  private long readBytes;

  /** Returns the first {@code limitBytes} of a body. */
  TruncatedContent(Content.Source body, long limitBytes) {
    this.body = body;
    this.limitBytes = limitBytes;
  }

  @Override
  public Content.Chunk read() {
    Content.Chunk chunk = body.read();
    if (chunk == null || Content.Chunk.isFailure(chunk)) {
      return chunk;
    }
    long room = Math.max(0, limitBytes - readBytes);
    readBytes += chunk.remaining();
    if (readBytes > MAXIMUM_READ_BYTES) {
      chunk.release();
      return Content.Chunk.from(new IllegalStateException("the body does not end"), true);
    }
    if (chunk.remaining() > room) {
      ByteBuffer bytes = chunk.getByteBuffer();
      bytes.limit(bytes.position() + (int) room);
    }
    return chunk;
  }

  @Override
  public void demand(Runnable demandCallback) {
    body.demand(demandCallback);
  }

  @Override
  public void fail(Throwable failure) {
    body.fail(failure);
  }
}
