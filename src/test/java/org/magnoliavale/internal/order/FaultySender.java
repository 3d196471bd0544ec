package org.magnoliavale.internal.order;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.internal.platform.FaultyTable;
import org.magnoliavale.internal.traffic.AttemptRequest;
import org.magnoliavale.internal.traffic.AttemptResult;
import org.magnoliavale.internal.traffic.AttemptSender;
import org.magnoliavale.internal.traffic.EndpointResponse;

/** A service behind a connection that fails in a given way. It counts the executed requests. */
final class FaultySender implements AttemptSender {
  /** Failure mode of an attempt. */
  enum Fault {
    NONE,
    NOT_SENT,
    KILLED_BEFORE_FIRST_BYTE,
    CUT_BEFORE_RUN,
    CUT_AFTER_RUN,
    CUT_INSIDE_ANSWER,
    KILLED_AFTER_RUN
  }

  private record Answer(InputStream content) implements EndpointResponse {
    @Override
    public int status() {
      return 201;
    }

    @Override
    public Optional<String> contentType() {
      return Optional.of("application/json");
    }

    @Override
    public void abandon(String reason) {}
  }

  private final Fault fault;
  private final AtomicInteger runs;

  FaultySender(Fault fault, AtomicInteger runs) {
    this.fault = fault;
    this.runs = runs;
  }

  @Override
  public AttemptResult send(AttemptRequest attempt) {
    throw new AssertionError("a non-idempotent request was sent as an idempotent one");
  }

  @Override
  public AttemptResult sendOnNewConnection(AttemptRequest attempt) {
    return switch (fault) {
      case NOT_SENT -> new AttemptResult.NotSent("refused");
      case KILLED_BEFORE_FIRST_BYTE -> FaultyTable.simulateKill();
      case CUT_BEFORE_RUN -> new AttemptResult.Failed("cut", true);
      case NONE -> {
        runs.incrementAndGet();
        yield opened(
            new ByteArrayInputStream("{\"placed\":true}".getBytes(StandardCharsets.UTF_8)));
      }
      case CUT_AFTER_RUN -> {
        runs.incrementAndGet();
        yield new AttemptResult.Failed("cut", true);
      }
      case CUT_INSIDE_ANSWER -> {
        runs.incrementAndGet();
        yield opened(new CutStream());
      }
      case KILLED_AFTER_RUN -> {
        runs.incrementAndGet();
        yield FaultyTable.simulateKill();
      }
    };
  }

  private static AttemptResult opened(InputStream content) {
    return new AttemptResult.Responded(new Answer(content));
  }

  private static final class CutStream extends InputStream {
    private int remaining = 5;

    @Override
    public int read() throws IOException {
      remaining--;
      if (remaining < 0) {
        throw new IOException("connection reset");
      }
      return '{';
    }
  }
}
