package org.magnoliavale.internal.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.magnoliavale.internal.call.AttemptEnd;
import org.magnoliavale.internal.call.AttemptFailure;
import org.magnoliavale.internal.call.AttemptListener;
import org.magnoliavale.internal.call.ConnectionUse;
import org.magnoliavale.internal.call.EndpointConnector;
import org.magnoliavale.internal.call.OutgoingRequest;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.UnreadBodyServer;
import org.magnoliavale.internal.identifier.ServiceId;

/** One attempt at a time with the client of an instance, at an endpoint that a test plays. */
abstract class EndpointAnswerFixture {
  static final long TIMEOUT_S = 20;
  static final String BODY = "half";

  /** How a response says where its body ends. */
  enum Framing {
    LENGTH,
    CHUNKS,
    CONNECTION;

    /** Returns a response whose body is a part of {@link #BODY}, or all of it. */
    String response(boolean whole) {
      String part = whole ? BODY : BODY.substring(1);
      return switch (this) {
        case LENGTH -> head("Content-Length: " + BODY.length() + "\r\n") + part;
        case CHUNKS ->
            head("Transfer-Encoding: chunked\r\n")
                + part.length()
                + "\r\n"
                + part
                + "\r\n"
                + (whole ? "0\r\n\r\n" : "");
        case CONNECTION -> head("") + part;
      };
    }

    private static String head(String framing) {
      return "HTTP/1.1 200 OK\r\n" + framing + "X-Request-Attempt-Id: a\r\n\r\n";
    }
  }

  /** Records the events of an attempt. Holds its content back until a test demands it. */
  static final class Recording implements AttemptListener {
    private final CompletableFuture<Runnable> held = new CompletableFuture<>();
    private final CompletableFuture<String> outcome = new CompletableFuture<>();
    private final StringBuffer body = new StringBuffer();
    private volatile AttemptEnd end;

    @Override
    public void onResponseHead(int status, HttpFields headers) {}

    @Override
    public void onContent(ByteBuffer bytes, Runnable demand) {
      body.append(StandardCharsets.US_ASCII.decode(bytes));
      if (!held.complete(demand)) {
        demand.run();
      }
    }

    @Override
    public void onEnd(AttemptEnd attemptEnd) {
      end = attemptEnd;
    }

    @Override
    public void onCompleted() {
      outcome.complete("completed " + body);
    }

    @Override
    public void onFailed(AttemptFailure failure, String reason) {
      outcome.complete("failed " + failure);
    }

    /** Waits until the first content has been received; it is held back. */
    Runnable awaitContent() throws Exception {
      return held.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    String awaitOutcome() throws Exception {
      return outcome.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    boolean hasOutcome() {
      return outcome.isDone();
    }

    AttemptEnd end() {
      return end;
    }
  }

  private final JettyTransport transport = new JettyTransport();
  HttpClient client;
  UnreadBodyServer endpoint;
  Recording attempt;
  EndpointConnector.Handle handle;

  @BeforeEach
  void start() throws Exception {
    client = transport.createEndpointClient(Duration.ofSeconds(TIMEOUT_S), address -> {});
    transport.startEndpointClient(client);
    endpoint = new UnreadBodyServer();
  }

  @AfterEach
  void stop() throws Exception {
    HttpClients.stop(client);
    endpoint.close();
  }

  /** Sends an attempt; returns its request as the endpoint got it, with an unread body. */
  UnreadBodyServer.Received send(String method, int bodyBytes, ConnectionUse use) throws Exception {
    DirectoryEntry entry =
        new DirectoryEntry(
            new EndpointIdentity("a", 1),
            new ServiceId("s"),
            endpoint.address(),
            "east",
            false,
            1,
            1,
            Map.of(),
            Set.of(),
            Set.of());
    attempt = new Recording();
    OutgoingRequest request =
        new OutgoingRequest(entry, method, "/x", HttpFields.EMPTY, new byte[bodyBytes], use);
    handle = new JettyEndpointConnector(client).send(request, attempt);
    return endpoint.accept();
  }
}
