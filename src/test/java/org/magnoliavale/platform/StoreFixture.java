package org.magnoliavale.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.platform.standin.StoreStandIn;

/** A client of the platform's store, and the store's stand-in. */
abstract class StoreFixture {
  static final Duration TIMEOUT = Duration.ofSeconds(20);

  final StoreStandIn store =
      new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final HttpClient http = HttpClients.create("test", 4, TIMEOUT, TIMEOUT);
  StoreClient client;

  @BeforeEach
  void start() {
    store.start();
    HttpClients.start(http);
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), store.port());
    client = new StoreClient(JsonClient.of(http), address, TIMEOUT);
  }

  @AfterEach
  void stop() {
    HttpClients.stop(http);
    store.stop();
  }
}
