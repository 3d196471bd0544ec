package org.magnoliavale.internal.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.internal.http.JsonCallResult;
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
  public TableResult commit(Transaction transaction) {
    return toResult(client.post(address, "/table/commit", transaction, timeout));
  }

  @Override
  public TableResult read(List<String> keys) {
    return toResult(client.post(address, "/table/read", new Keys(keys), timeout));
  }

  @Override
  public TableResult scan(String prefix) {
    return toResult(client.post(address, "/table/scan", new Prefix(prefix), timeout));
  }

  @Override
  public Optional<List<ListedInstance>> read() {
    return switch (client.get(address, "/instances", timeout)) {
      case JsonCallResult.Response(int status, var ignoredHeaders, byte[] body)
          when status == HttpStatus.OK_200 ->
          parseInstances(body);
      case JsonCallResult.Response ignored -> Optional.empty();
      case JsonCallResult.OutcomeUnknown ignored -> Optional.empty();
      case JsonCallResult.NotSent ignored -> Optional.empty();
    };
  }

  private static TableResult toResult(JsonCallResult result) {
    return switch (result) {
      case JsonCallResult.Response(int status, var ignoredHeaders, byte[] body) ->
          parseResult(status, body);
      case JsonCallResult.OutcomeUnknown(String reason) -> new TableResult.OutcomeUnknown(reason);
      case JsonCallResult.NotSent(String reason, boolean ignored) ->
          new TableResult.Unavailable(reason);
    };
  }

  private static TableResult parseResult(int status, byte[] body) {
    try {
      return switch (status) {
        case HttpStatus.OK_200 -> TableResult.Success.of(Json.read(body, Rows.class).rows());
        case HttpStatus.CONFLICT_409 ->
            new TableResult.ConditionFailed(Json.read(body, Rows.class).rows());
        case HttpStatus.TOO_MANY_REQUESTS_429, HttpStatus.SERVICE_UNAVAILABLE_503 ->
            new TableResult.Unavailable("HTTP status " + status);
        default -> new TableResult.OutcomeUnknown("HTTP status " + status);
      };
    } catch (IOException e) {
      return new TableResult.OutcomeUnknown("malformed response: " + e.getMessage());
    }
  }

  private static Optional<List<ListedInstance>> parseInstances(byte[] body) {
    try {
      return Optional.of(List.copyOf(Json.read(body, Instances.class).instances()));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
