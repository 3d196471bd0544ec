package org.magnoliavale.internal.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.http.UnreadBodyServer;
import org.magnoliavale.internal.settings.EngineSettings;

/** Sends attempts to a plain socket that cuts off its answer at every byte. */
class EndpointClientTest {
  private static final String BODY = "a body";
  private static final String ID = "attempt-1";
  private static final int RESET_TRIALS = 40;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final EndpointClient client =
      EndpointClient.of(new EngineSettings(8, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, TIMEOUT, 1_024));
  private ServerSocket server;
  private Endpoint endpoint;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    endpoint = endpointAt(server.getLocalPort());
    client.start();
  }

  private static Endpoint endpointAt(int port) {
    String document = TestDocuments.base() + TestDocuments.serviceEndpoint("service-1", port);
    return DocumentReader.read("d.ini", document, 1).endpoints().values().iterator().next();
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  private static String head(String framing) {
    String header =
        switch (framing) {
          case "length" -> "Content-Length: " + BODY.length() + "\r\n";
          case "chunked" -> "Transfer-Encoding: chunked\r\n";
          default -> "";
        };
    return "HTTP/1.1 200 OK\r\n" + header + HeaderNames.ATTEMPT_ID + ": " + ID + "\r\n\r\n";
  }

  /** Answers one request; a reset follows once the sender has the head. */
  private void serve(String text, boolean reset) throws IOException {
    Socket socket = server.accept();
    Thread.ofVirtual()
        .start(
            () -> {
              try (socket) {
                socket.getInputStream().read(new byte[4_096]);
                socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                socket.setSoLinger(reset, 0);
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
  }

  /** Returns the body of a complete answer, or a text that begins with "failed". */
  private String send(boolean newConnection) {
    return send(endpoint, "GET", new byte[0], newConnection);
  }

  private String send(Endpoint target, String method, byte[] body, boolean newConnection) {
    AttemptRequest request =
        new AttemptRequest(
            ID, target, method, "/x", HttpFields.EMPTY, body, TIMEOUT, TIMEOUT, TIMEOUT);
    AttemptResult result =
        newConnection ? client.sendOnNewConnection(request) : client.send(request);
    if (!(result instanceof AttemptResult.Responded(EndpointResponse response))) {
      return "failed: " + result;
    }
    try {
      return new String(response.readFully(1_024), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return "failed: " + e;
    }
  }

  /** Guards against an answer that was reset on the way and is taken for a whole one. */
  @ParameterizedTest
  @CsvSource({
    "length,false",
    "length,true",
    "chunked,false",
    "chunked,true",
    "none,false",
    "none,true"
  })
  void cutAnswerIsNeverComplete(String framing, boolean reset) throws Exception {
    String body = framing.equals("chunked") ? "6\r\n" + BODY + "\r\n0\r\n\r\n" : BODY;
    String text = head(framing) + body;
    // A chunked body is whole with its last chunk, even without the empty line after it.
    int last = framing.equals("chunked") ? text.length() - 3 : text.length() - 1;
    boolean endsWithConnection = framing.equals("none") && !reset;
    int end = endsWithConnection ? head(framing).length() - 1 : last;
    List<String> violations = new ArrayList<>();
    for (int cut = 0; cut <= end; cut++) {
      String part = text.substring(0, cut);
      Thread serving =
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      serve(part, reset);
                    } catch (IOException e) {
                      throw new IllegalStateException(e);
                    }
                  });
      String outcome = send(cut % 2 == 0);
      serving.join();
      if (!outcome.startsWith("failed")) {
        violations.add("at " + cut + ": " + outcome);
      }
    }
    assertThat(violations).isEmpty();
  }

  /** Guards against an answer that was reset while its request was sent and looks complete. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void answerThatIsResetWhileItsRequestIsSentIsNeverComplete(boolean newConnection)
      throws Exception {
    List<String> violations = new ArrayList<>();
    byte[] body = new byte[UnreadBodyServer.LARGE_BODY_BYTES];
    for (int trial = 0; trial < RESET_TRIALS; trial++) {
      try (UnreadBodyServer unread = new UnreadBodyServer()) {
        Endpoint slow = endpointAt(unread.address().getPort());
        CompletableFuture<String> outcome =
            CompletableFuture.supplyAsync(() -> send(slow, "POST", body, newConnection));
        UnreadBodyServer.Received request = unread.accept();
        request.send(head("none") + BODY);
        request.reset();
        if (!outcome.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).startsWith("failed")) {
          violations.add("trial " + trial);
        }
      }
    }
    assertThat(violations).isEmpty();
  }
}
