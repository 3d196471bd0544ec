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

/** A command's connection to an instance's port. */
final class OperatorConnection implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int CONNECTIONS = 8;

  private final HttpClient http;
  private final JsonClient client;
  private final InetSocketAddress address;

  private OperatorConnection(HttpClient http, InetSocketAddress address) {
    this.http = http;
    this.client = JsonClient.of(http);
    this.address = address;
  }

  static OperatorConnection to(String address) {
    if (!Values.isAddress(address)) {
      throw MagnoliavaleException.of(
          ErrorCode.INVALID_REQUEST, "expected a numeric address and port, but was " + address);
    }
    HttpClient http = HttpClients.create("command", CONNECTIONS, TIMEOUT, TIMEOUT);
    HttpClients.start(http);
    return new OperatorConnection(http, Values.address(address));
  }

  /** Sends a call, prints the body of the answer, and returns the exit code. */
  int callAndPrint(String method, String path, Map<String, String> headers, String body) {
    return switch (call(method, path, headers, body)) {
      case JsonCallResult.Response(int status, byte[] content) -> {
        System.out.println(new String(content, StandardCharsets.UTF_8));
        yield status < 300 ? Command.SUCCESS : Command.FAILURE;
      }
      case JsonCallResult.OutcomeUnknown(String reason) -> noAnswer(reason);
      case JsonCallResult.NotSent(String reason) -> noAnswer(reason);
    };
  }

  JsonCallResult call(String method, String path, Map<String, String> headers, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return client.send(method, address, path, headers, bytes, TIMEOUT);
  }

  private static int noAnswer(String reason) {
    System.err.println("magnoliavale: no answer: " + reason);
    return Command.FAILURE;
  }

  @Override
  public void close() {
    HttpClients.stop(http);
  }
}
