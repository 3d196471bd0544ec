package org.magnoliavale.internal.call;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpFields;

/** Records the response that a caller receives. */
final class RecordingCaller implements CallerResponse {
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private HttpFields headers = HttpFields.EMPTY;
  private String ending = "open";
  private boolean writesHeld;
  private Runnable pendingWrite;
  private boolean failing;

  int status() {
    return status;
  }

  HttpFields headers() {
    return headers;
  }

  String body() {
    return body.toString(StandardCharsets.UTF_8);
  }

  /** Returns {@code open}, {@code whole}, {@code finished} or {@code aborted}. */
  String ending() {
    return ending;
  }

  @Override
  public void respond(int responseStatus, HttpFields responseHeaders, ByteBuffer bytes) {
    begin(responseStatus, responseHeaders);
    append(bytes);
    end("whole");
  }

  @Override
  public void begin(int responseStatus, HttpFields responseHeaders) {
    failIfAsked();
    status = responseStatus;
    headers = responseHeaders;
  }

  /** From now on beginning a response and writing a part of it throw. */
  void failFromNowOn() {
    failing = true;
  }

  private void failIfAsked() {
    if (failing) {
      throw new IllegalStateException("expected by the test");
    }
  }

  /** From now on writes complete only with {@link #completeWrite}. */
  void holdWrites() {
    writesHeld = true;
  }

  boolean hasWriteInProgress() {
    return pendingWrite != null;
  }

  /** Completes the write in progress. */
  void completeWrite() {
    Runnable written = pendingWrite;
    pendingWrite = null;
    written.run();
  }

  @Override
  public void write(ByteBuffer bytes, Runnable written) {
    failIfAsked();
    if (pendingWrite != null) {
      throw new AssertionError("a write began before the last one was complete");
    }
    append(bytes);
    if (writesHeld) {
      pendingWrite = written;
    } else {
      written.run();
    }
  }

  @Override
  public void finish() {
    end("finished");
  }

  @Override
  public void abort() {
    end("aborted");
  }

  private void append(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      body.write(bytes.get());
    }
  }

  private void end(String how) {
    if (!ending.equals("open")) {
      throw new IllegalStateException("response ended twice: " + ending + ", then " + how);
    }
    ending = how;
  }
}
