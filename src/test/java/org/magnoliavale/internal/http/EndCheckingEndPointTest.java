package org.magnoliavale.internal.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.ClientConnectionFactory;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.Transport;
import org.eclipse.jetty.util.Promise;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndCheckingEndPointTest {
  private static final long TIMEOUT_S = 20;
  private static final long PAUSE_MS = 1;
  private static final int END = -1;
  private static final int BLOCK_BYTES = 64 * 1_024;
  private static final String CONTENT = "half";

  private static final class PassiveConnection extends AbstractConnection {
    PassiveConnection(EndPoint endPoint) {
      super(endPoint, Runnable::run);
    }

    @Override
    public void onFillable() {}
  }

  private final EndCheckingConnector connector = new EndCheckingConnector();
  private UnreadBodyServer server;
  private UnreadBodyServer.Received peer;
  private EndPoint endPoint;

  @BeforeEach
  void connect() throws Exception {
    server = new UnreadBodyServer();
    connector.setSelectors(1);
    connector.start();
    CompletableFuture<PassiveConnection> connected = new CompletableFuture<>();
    ClientConnectionFactory factory =
        (connectedEndPoint, context) -> new PassiveConnection(connectedEndPoint);
    Promise<PassiveConnection> promise =
        Promise.from(connected::complete, connected::completeExceptionally);
    connector.connect(
        server.address(),
        new HashMap<>(
            Map.of(
                Transport.CONTEXT_KEY,
                Transport.TCP_IP,
                ClientConnectionFactory.CONTEXT_KEY,
                factory,
                ClientConnector.CONNECTION_PROMISE_CONTEXT_KEY,
                promise)));
    peer = server.acceptSilent();
    endPoint = connected.get(TIMEOUT_S, TimeUnit.SECONDS).getEndPoint();
  }

  @AfterEach
  void close() throws Exception {
    connector.stop();
    peer.close();
    server.close();
  }

  private interface Step {
    boolean isDone() throws IOException;
  }

  private static void await(Step step) throws Exception {
    long start = System.nanoTime();
    while (!step.isDone()) {
      if (System.nanoTime() - start > Duration.ofSeconds(TIMEOUT_S).toNanos()) {
        throw new TimeoutException();
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    }
  }

  private boolean flushFails() {
    try {
      endPoint.flush(ByteBuffer.allocate(BLOCK_BYTES));
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private int fill() throws IOException {
    return endPoint.fill(ByteBuffer.allocate(BLOCK_BYTES).limit(0));
  }

  /** Reads until there is content, an end or a failure. */
  private int awaitFill() throws Exception {
    int[] filled = new int[1];
    await(
        () -> {
          filled[0] = fill();
          return filled[0] != 0;
        });
    return filled[0];
  }

  /** Guards against an answer without framing that is complete although it broke off. */
  @Nested
  class BrokenEnd {
    @Test
    void isNoEndOfTheStreamAfterAWriteTookTheReset() throws Exception {
      await(() -> !endPoint.flush(ByteBuffer.allocate(BLOCK_BYTES)));
      peer.reset();
      await(EndCheckingEndPointTest.this::flushFails);
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
    }

    @Test
    void isNoEndOfTheStreamIfAReadTakesTheReset() throws Exception {
      peer.reset();
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
    }

    @Test
    void isNoEndOfTheStreamIfThisSideClosed() throws Exception {
      endPoint.close();
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
    }

    @Test
    void isNoEndOfTheStreamIfThisSideClosedAfterContent() throws Exception {
      peer.send(CONTENT);
      assertThat(awaitFill()).isEqualTo(CONTENT.length());
      endPoint.close();
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
    }

    @Test
    void isNoEndOfTheStreamIfThePeerClosesSinceThisSideDid() throws Exception {
      endPoint.shutdownOutput();
      peer.close();
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
    }

    @Test
    void isNoEndOfTheStreamIfTheSelectorStops() throws Exception {
      connector.stop();
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
    }

    /** The first failure doesn't tell portably whether the peer closed before it reset. */
    @Test
    void isNoEndOfTheStreamIfAWriteFailedBeforeTheCloseWasRead() throws Exception {
      peer.close();
      await(EndCheckingEndPointTest.this::flushFails);
      assertThatThrownBy(() -> awaitFill()).isInstanceOf(IOException.class);
    }
  }

  @Nested
  class OrderlyEnd {
    @ParameterizedTest
    @ValueSource(strings = {"", CONTENT})
    void isTheEndOfTheStreamHoweverOftenItIsRead(String content) throws Exception {
      peer.send(content);
      peer.shutDownOutput();
      if (!content.isEmpty()) {
        assertThat(awaitFill()).isEqualTo(content.length());
      }
      assertThat(awaitFill()).isEqualTo(END);
      assertThat(awaitFill()).isEqualTo(END);
    }

    @Test
    void staysTheEndOfTheStreamIfAWriteFailsAfterwards() throws Exception {
      peer.close();
      assertThat(awaitFill()).isEqualTo(END);
      await(EndCheckingEndPointTest.this::flushFails);
      assertThat(awaitFill()).isEqualTo(END);
    }

    @Test
    void staysTheEndOfTheStreamIfThisSideClosesAfterwards() throws Exception {
      peer.close();
      assertThat(awaitFill()).isEqualTo(END);
      endPoint.close();
      assertThat(awaitFill()).isEqualTo(END);
    }
  }

  @Test
  void handsOnWhatItRead() throws Exception {
    peer.send(CONTENT);
    ByteBuffer buffer = ByteBuffer.allocate(BLOCK_BYTES).limit(0);
    await(() -> endPoint.fill(buffer) > 0);
    assertThat(StandardCharsets.US_ASCII.decode(buffer).toString()).isEqualTo(CONTENT);
  }
}
