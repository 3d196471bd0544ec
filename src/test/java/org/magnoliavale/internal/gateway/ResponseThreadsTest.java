package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.PlainServer;

class ResponseThreadsTest {
  private static final int REQUESTS = 200;

  @Test
  void responsesAreNotHandedFromTheThreadThatWaitsForThemToAnother() throws Exception {
    HttpClient client =
        new JettyTransport().createEndpointClient(Duration.ofSeconds(20), address -> {});
    Set<Thread> readers = ConcurrentHashMap.newKeySet();
    try (PlainServer server = new PlainServer()) {
      server.answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      HttpClients.start(client);
      String target = "http://127.0.0.1:" + server.address().getPort();
      for (int request = 0; request < REQUESTS; request++) {
        client
            .newRequest(target)
            .onResponseContent((response, bytes) -> readers.add(Thread.currentThread()))
            .send();
      }
    } finally {
      HttpClients.stop(client);
    }
    assertThat(readers).hasSize(1);
  }
}
