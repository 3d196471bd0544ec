package org.magnoliavale.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.directory.EndpointIdentity;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.identifier.ServiceId;

class WorkerControlTest {
  private static final Duration TIMEOUT = Duration.ofMillis(300);

  private final HttpClient client = HttpClients.create("test", 4, TIMEOUT, TIMEOUT);
  private final WorkerControl control = new WorkerControl(JsonClient.of(client), TIMEOUT);
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

  private void answer(String statusLine) {
    Thread.ofVirtual()
        .start(
            () -> {
              try (Socket socket = worker.accept()) {
                String head = "HTTP/1.1 " + statusLine + "\r\nContent-Length: 0\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                socket.getInputStream().readAllBytes();
              } catch (IOException e) {
                // The test is over.
                return;
              }
            });
  }

  @Test
  void workerThatRefusesConnectionsIsDown() throws IOException {
    worker.close();
    assertThat(control.isDown(entry())).isTrue();
  }

  @Test
  void workerWhoseAddressBelongsToAnotherIncarnationIsDown() {
    answer("421 Misdirected Request");
    assertThat(control.isDown(entry())).isTrue();
  }

  @Test
  void workerThatAnswersIsNotDown() {
    answer("200 OK");
    assertThat(control.isDown(entry())).isFalse();
  }

  @Test
  void workerThatIsSilentIsNotCertainlyDown() {
    assertThat(control.isDown(entry())).isFalse();
  }
}
