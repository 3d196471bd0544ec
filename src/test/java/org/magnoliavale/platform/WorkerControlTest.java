package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.directory.EndpointStatement;
import org.magnoliavale.internal.directory.LimitStatement;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.residency.EndpointCommand;
import org.magnoliavale.internal.residency.EndpointCommandResult;

class WorkerControlTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final Duration TIMEOUT_OF_SILENT_WORKER = Duration.ofMillis(300);

  private final HttpClient client = HttpClients.create("test", 4, TIMEOUT, TIMEOUT);
  private final Map<EndpointIdentity, EndpointStatement> heard = new ConcurrentHashMap<>();
  private ServerSocket worker;

  @BeforeEach
  void start() throws IOException {
    HttpClients.start(client);
    worker = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    HttpClients.stop(client);
    worker.close();
  }

  private DirectoryEntry entry() {
    return new DirectoryEntry(
        new EndpointIdentity("w", 1),
        new ServiceId("assistant"),
        new InetSocketAddress(worker.getInetAddress(), worker.getLocalPort()),
        "east",
        false,
        8,
        1,
        Map.of(),
        Set.of(),
        Set.of());
  }

  /**
   * Serves connections until the test ends: writes the first answer of each connection as the only
   * one to all requests on it, as a faulty worker whose answers come once more and late.
   */
  private void repeatFirstAnswerOfEachConnection(String... statusLines) {
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                for (String statusLine : statusLines) {
                  Socket socket = worker.accept();
                  Thread.ofVirtual().start(() -> repeatAnswer(socket, statusLine));
                }
              } catch (IOException e) {
                // The test is over.
                return;
              }
            });
  }

  private static void repeatAnswer(Socket socket, String statusLine) {
    try (socket) {
      String answer = "HTTP/1.1 " + statusLine + "\r\nContent-Length: 0\r\n\r\n";
      byte[] buffer = new byte[4_096];
      while (socket.getInputStream().read(buffer) >= 0) {
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException e) {
      // The test is over.
      return;
    }
  }

  private void answer(String statusLine) {
    Thread.ofVirtual()
        .start(
            () -> {
              try (Socket socket = worker.accept()) {
                readRequestHead(socket);
                String head = "HTTP/1.1 " + statusLine + "\r\nContent-Length: 0\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().readAllBytes();
              } catch (IOException e) {
                // The test is over.
                return;
              }
            });
  }

  private static void readRequestHead(Socket socket) throws IOException {
    BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    String line = lines.readLine();
    while (line != null && !line.isEmpty()) {
      line = lines.readLine();
    }
  }

  private boolean isDown(Duration timeout) {
    return new WorkerControl(JsonClient.of(client), timeout, (endpoint, statement) -> {})
        .isDown(entry());
  }

  @Test
  void workerThatRefusesConnectionsIsDown() throws IOException {
    worker.close();
    assertThat(isDown(TIMEOUT)).isTrue();
  }

  @Test
  void workerWhoseAddressBelongsToAnotherIncarnationIsDown() {
    answer("421 Misdirected Request");
    assertThat(isDown(TIMEOUT)).isTrue();
  }

  @Test
  void workerThatAnswersIsNotDown() {
    answer("200 OK");
    assertThat(isDown(TIMEOUT)).isFalse();
  }

  @Test
  void workerThatIsSilentIsNotCertainlyDown() {
    assertThat(isDown(TIMEOUT_OF_SILENT_WORKER)).isFalse();
  }

  /** Guards against a late second copy of an answer that counts as that to the next order. */
  @Test
  void lateCopyOfAnAnswerIsNoAnswerToTheNextOrder() {
    repeatFirstAnswerOfEachConnection("202 Accepted", "409 Conflict");
    WorkerControl control = new WorkerControl(JsonClient.of(client), TIMEOUT, heard::put);
    EndpointCommand load =
        new EndpointCommand(
            new EndpointIdentity("w", 1),
            EndpointCommand.Operation.LOAD,
            Artifact.parse("m"),
            1,
            "front-1",
            1);
    assertThat(control.send(entry(), load)).isEqualTo(EndpointCommandResult.ACCEPTED);
    assertThat(control.send(entry(), load)).isEqualTo(EndpointCommandResult.CONFLICT);
  }

  @Nested
  class WhatAWorkerSaysOfItself {
    private void report(String statusLineAndHeaders) {
      answer(statusLineAndHeaders);
      new WorkerControl(JsonClient.of(client), TIMEOUT, heard::put).fetchReport(entry());
    }

    @Test
    void isHeardWithReports() {
      report("200 OK\r\nServer-Leaving: 1\r\nServer-Limit: 2.5");
      assertThat(heard)
          .containsEntry(
              entry().identity(),
              new EndpointStatement(LimitStatement.limited(2.5), true, Duration.ZERO));
    }

    @Test
    void liftsNoLimitWhereNoneIsNamed() {
      report("200 OK");
      assertThat(heard)
          .containsEntry(
              entry().identity(),
              new EndpointStatement(LimitStatement.UNKNOWN, false, Duration.ZERO));
    }

    @Test
    void isNotHeardFromAnotherWorkerAtItsAddress() {
      report("421 Misdirected Request\r\nServer-Leaving: 1");
      assertThat(heard).isEmpty();
    }
  }
}
