package org.magnoliavale.internal.idempotency;

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

/**
 * Simulates a service and the connection to it, with one failure mode for all attempts. Counts the
 * requests that the service executes.
 */
final class FaultySender implements AttemptSender {
  /** Failure mode of an attempt. */
  enum Fault {
    NONE,
    NOT_SENT,
    KILLED_BEFORE_FIRST_BYTE,
    LOST_BEFORE_EXECUTION,
    LOST_AFTER_EXECUTION,
    LOST_DURING_RESPONSE,
    KILLED_AFTER_EXECUTION
  }

  private record Response(InputStream content) implements EndpointResponse {
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
      case LOST_BEFORE_EXECUTION -> new AttemptResult.Failed("connection lost", true);
      case NONE -> {
        runs.incrementAndGet();
        yield responded(
            new ByteArrayInputStream("{\"placed\":true}".getBytes(StandardCharsets.UTF_8)));
      }
      case LOST_AFTER_EXECUTION -> {
        runs.incrementAndGet();
        yield new AttemptResult.Failed("connection lost", true);
      }
      case LOST_DURING_RESPONSE -> {
        runs.incrementAndGet();
        yield responded(new TruncatedStream());
      }
      case KILLED_AFTER_EXECUTION -> {
        runs.incrementAndGet();
        yield FaultyTable.simulateKill();
      }
    };
  }

  private static AttemptResult responded(InputStream content) {
    return new AttemptResult.Responded(new Response(content));
  }

  private static final class TruncatedStream extends InputStream {
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
