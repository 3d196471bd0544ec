package org.magnoliavale.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.http.JsonCallResult;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.residency.ControlStatementListener;
import org.magnoliavale.internal.residency.EndpointCommand;
import org.magnoliavale.internal.residency.EndpointCommandResult;
import org.magnoliavale.internal.residency.EndpointControl;
import org.magnoliavale.internal.residency.EndpointReport;

/**
 * Sends commands to the platform's workers and reads their reports. Nothing in an answer tells
 * which request it belongs to, so each request has a connection of its own: a late second copy of
 * an earlier answer cannot come there.
 */
final class WorkerControl implements EndpointControl {
  private static final String EXPECTED_INSTANCE = "X-Expected-Instance";
  private static final int MISDIRECTED_REQUEST = 421;

  private final JsonClient client;
  private final Duration timeout;
  private final ControlStatementListener listener;

  /**
   * Returns a control.
   *
   * @param listener receives what workers say of themselves in their answers
   */
  WorkerControl(JsonClient client, Duration timeout, ControlStatementListener listener) {
    this.client = client;
    this.timeout = timeout;
    this.listener = listener;
  }

  @Override
  public EndpointCommandResult send(DirectoryEntry endpoint, EndpointCommand command) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put(
        "operation", command.operation() == EndpointCommand.Operation.LOAD ? "load" : "unload");
    body.put("model", command.artifact().model());
    command.artifact().adapter().ifPresent(adapter -> body.put("adapter", adapter));
    // "expected-revision" is the worker's expected command sequence number.
    body.put("expected-revision", command.expectedSequence());
    body.put("holder", command.holder());
    body.put("fencing-token", command.fencingToken());
    JsonCallResult result = send(endpoint, "POST", "/-/order", Json.bytes(body));
    return switch (result) {
      case JsonCallResult.NotSent ignored -> EndpointCommandResult.NOT_SENT;
      case JsonCallResult.OutcomeUnknown ignored -> EndpointCommandResult.UNKNOWN;
      case JsonCallResult.Response(int status, var ignoredHeaders, byte[] ignored) ->
          toCommandResult(status);
    };
  }

  private static EndpointCommandResult toCommandResult(int status) {
    return switch (status) {
      case 202 -> EndpointCommandResult.ACCEPTED;
      case 200 -> EndpointCommandResult.DONE;
      case 409 -> EndpointCommandResult.CONFLICT;
      case 412 -> EndpointCommandResult.FENCED;
      case MISDIRECTED_REQUEST -> EndpointCommandResult.OTHER_INCARNATION;
      case 400 -> EndpointCommandResult.INVALID;
      default -> EndpointCommandResult.UNKNOWN;
    };
  }

  private static Map<String, String> headers(DirectoryEntry endpoint) {
    return Map.of(EXPECTED_INSTANCE, endpoint.identity().id(), "Connection", "close");
  }

  @Override
  public boolean isDown(DirectoryEntry endpoint) {
    return switch (requestReport(endpoint)) {
      case JsonCallResult.NotSent(String ignored, boolean refused) -> refused;
      case JsonCallResult.Response(int status, var ignoredHeaders, byte[] ignored) ->
          status == MISDIRECTED_REQUEST;
      case JsonCallResult.OutcomeUnknown ignored -> false;
    };
  }

  @Override
  public boolean isReachable(DirectoryEntry endpoint) {
    return requestReport(endpoint) instanceof JsonCallResult.Response;
  }

  private JsonCallResult requestReport(DirectoryEntry endpoint) {
    return send(endpoint, "GET", "/-/report", new byte[0]);
  }

  private JsonCallResult send(DirectoryEntry endpoint, String method, String path, byte[] body) {
    JsonCallResult result =
        client.send(method, endpoint.address(), path, headers(endpoint), body, timeout);
    // A 421 comes from another worker.
    if (result instanceof JsonCallResult.Response(int status, var headers, byte[] ignored)
        && status != MISDIRECTED_REQUEST) {
      listener.heard(endpoint.identity(), WorkerStatements.decodeOther(status, headers));
    }
    return result;
  }

  @Override
  public Optional<EndpointReport> fetchReport(DirectoryEntry endpoint) {
    JsonCallResult result = requestReport(endpoint);
    if (!(result instanceof JsonCallResult.Response(int status, var ignoredHeaders, byte[] body))
        || status != 200) {
      return Optional.empty();
    }
    try {
      JsonNode tree = Json.tree(body);
      Set<String> coming = new HashSet<>();
      for (JsonNode name : tree.path("coming")) {
        coming.add(name.asText().split("@", 2)[0]);
      }
      return Optional.of(
          new EndpointReport(
              StoreDirectorySource.decodeModels(tree.path("models")),
              tree.path("busy").asBoolean(),
              tree.path("sequence").asLong(),
              tree.path("born").asLong(),
              coming));
    } catch (IOException | RuntimeException e) {
      // Whatever a worker reports, its next report is asked for again.
      return Optional.empty();
    }
  }
}
