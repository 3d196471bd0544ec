package org.magnoliavale.internal.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.internal.http.JsonAnswer;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.json.Json;

/** HTTP client of the platform's table and instance list. Calls block up to the timeout. */
public final class HttpPlatform implements Table, InstanceList {
  private record Keys(List<String> keys) {}

  private record Prefix(String prefix) {}

  private record Rows(List<Row> rows) {}

  private record Instances(List<ListedInstance> instances) {}

  private final JsonClient client;
  private final InetSocketAddress address;
  private final Duration timeout;

  private HttpPlatform(JsonClient client, InetSocketAddress address, Duration timeout) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
  }

  /** Returns a client of the platform at {@code address}; {@code timeout} limits each call. */
  public static HttpPlatform of(JsonClient client, InetSocketAddress address, Duration timeout) {
    return new HttpPlatform(client, address, timeout);
  }

  @Override
  public TableAnswer commit(Transaction transaction) {
    return answerOf(client.post(address, "/table/commit", transaction, timeout));
  }

  @Override
  public TableAnswer read(List<String> keys) {
    return answerOf(client.post(address, "/table/read", new Keys(keys), timeout));
  }

  @Override
  public TableAnswer scan(String prefix) {
    return answerOf(client.post(address, "/table/scan", new Prefix(prefix), timeout));
  }

  @Override
  public Optional<List<ListedInstance>> read() {
    return switch (client.get(address, "/instances", timeout)) {
      case JsonAnswer.Answered(int status, byte[] body) when status == HttpStatus.OK_200 ->
          instances(body);
      case JsonAnswer.Answered ignored -> Optional.empty();
      case JsonAnswer.Lost ignored -> Optional.empty();
      case JsonAnswer.NotSent ignored -> Optional.empty();
    };
  }

  private static TableAnswer answerOf(JsonAnswer answer) {
    return switch (answer) {
      case JsonAnswer.Answered(int status, byte[] body) -> answered(status, body);
      case JsonAnswer.Lost(String reason) -> new TableAnswer.Unknown(reason);
      case JsonAnswer.NotSent(String reason) -> new TableAnswer.Unavailable(reason);
    };
  }

  private static TableAnswer answered(int status, byte[] body) {
    try {
      return switch (status) {
        case HttpStatus.OK_200 -> new TableAnswer.Done(Json.read(body, Rows.class).rows());
        case HttpStatus.CONFLICT_409 -> new TableAnswer.Refused(Json.read(body, Rows.class).rows());
        case HttpStatus.TOO_MANY_REQUESTS_429, HttpStatus.SERVICE_UNAVAILABLE_503 ->
            new TableAnswer.Unavailable("HTTP status " + status);
        default -> new TableAnswer.Unknown("HTTP status " + status);
      };
    } catch (IOException e) {
      return new TableAnswer.Unknown("malformed response: " + e.getMessage());
    }
  }

  private static Optional<List<ListedInstance>> instances(byte[] body) {
    try {
      return Optional.of(List.copyOf(Json.read(body, Instances.class).instances()));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
