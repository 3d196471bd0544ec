package org.magnoliavale.internal.engine;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.http.JsonCallResult;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.json.Json;

/** Sends commands and reads reports as JSON over HTTP. */
public final class HttpEngineClient implements EngineClient {
  /** Path that returns the report. */
  public static final String REPORT_PATH = "/engine/report";

  /** Path that accepts commands. */
  public static final String COMMANDS_PATH = "/engine/orders";

  private final JsonClient client;
  private final Duration timeout;

  private HttpEngineClient(JsonClient client, Duration timeout) {
    this.client = client;
    this.timeout = timeout;
  }

  /** Creates an instance that waits at most {@code timeout} for each response. */
  public static HttpEngineClient of(JsonClient client, Duration timeout) {
    return new HttpEngineClient(client, timeout);
  }

  @Override
  public Optional<EngineReport> report(Endpoint endpoint) {
    JsonCallResult result = client.get(endpoint.address(), REPORT_PATH, timeout);
    if (result instanceof JsonCallResult.Response(int status, var ignoredHeaders, byte[] body)
        && status == HttpStatus.OK_200) {
      try {
        return Optional.of(Json.read(body, EngineReport.class));
      } catch (IOException e) {
        return Optional.empty();
      }
    }
    return Optional.empty();
  }

  @Override
  public CommandResult send(Endpoint endpoint, EngineCommand command) {
    return switch (client.post(endpoint.address(), COMMANDS_PATH, command, timeout)) {
      case JsonCallResult.Response(int status, var ignoredHeaders, byte[] ignored) ->
          resultOf(status);
      case JsonCallResult.OutcomeUnknown(String reason) -> new CommandResult.Unknown(reason);
      case JsonCallResult.NotSent(String reason, boolean ignored) ->
          new CommandResult.NotSent(reason);
    };
  }

  private static CommandResult resultOf(int status) {
    if (status == HttpStatus.OK_200 || status == HttpStatus.ACCEPTED_202) {
      return new CommandResult.Accepted();
    }
    boolean refused = status >= HttpStatus.BAD_REQUEST_400 && status < 500;
    return refused
        ? new CommandResult.Refused("status " + status)
        : new CommandResult.Unknown("status " + status);
  }
}
