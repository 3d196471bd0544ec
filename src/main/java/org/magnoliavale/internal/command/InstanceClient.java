package org.magnoliavale.internal.command;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonCallResult;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.ini.Values;

/** HTTP client of a command for one port of an instance; requests block. */
final class InstanceClient implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int MAXIMUM_CONNECTIONS = 8;

  private final HttpClient http;
  private final JsonClient client;
  private final InetSocketAddress address;

  private InstanceClient(HttpClient http, InetSocketAddress address) {
    this.http = http;
    this.client = JsonClient.of(http);
    this.address = address;
  }

  static InstanceClient of(String address) {
    if (!Values.isAddress(address)) {
      throw MagnoliavaleException.of(
          ErrorCode.INVALID_REQUEST, "expected a numeric address and port, but got " + address);
    }
    HttpClient http = HttpClients.create("command", MAXIMUM_CONNECTIONS, TIMEOUT, TIMEOUT);
    HttpClients.start(http);
    return new InstanceClient(http, Values.address(address));
  }

  /** Sends a request, prints the response body, and returns the exit code. */
  int callAndPrint(String method, String path, Map<String, String> headers, String body) {
    return switch (call(method, path, headers, body)) {
      case JsonCallResult.Response(int status, var ignoredHeaders, byte[] content) -> {
        System.out.println(new String(content, StandardCharsets.UTF_8));
        yield status < 300 ? Command.SUCCESS : Command.FAILURE;
      }
      case JsonCallResult.OutcomeUnknown(String reason) -> reportNoResponse(reason);
      case JsonCallResult.NotSent(String reason, boolean ignored) -> reportNoResponse(reason);
    };
  }

  JsonCallResult call(String method, String path, Map<String, String> headers, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return client.send(method, address, path, headers, bytes, TIMEOUT);
  }

  private static int reportNoResponse(String reason) {
    System.err.println("magnoliavale: no response: " + reason);
    return Command.FAILURE;
  }

  @Override
  public void close() {
    HttpClients.stop(http);
  }
}
