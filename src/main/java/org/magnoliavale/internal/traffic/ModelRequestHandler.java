package org.magnoliavale.internal.traffic;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.routing.ModelName;

/** Handles model requests: completions, streamed or not, and the list of models. */
final class ModelRequestHandler {
  private record RoutingFields(ModelName model, boolean stream) {}

  private record ListedModel(String id, String object) {}

  private final Forwarder forwarder;
  private final DemandCounter demand;

  ModelRequestHandler(Forwarder forwarder, DemandCounter demand) {
    this.forwarder = forwarder;
    this.demand = demand;
  }

  void list(Response response, Callback callback) {
    List<ListedModel> listed = new ArrayList<>();
    for (Model model : forwarder.endpointSelector().snapshot().document().models().values()) {
      listed.add(new ListedModel(model.id().value(), "model"));
      model
          .adapters()
          .forEach(adapter -> listed.add(new ListedModel(model.id() + ":" + adapter, "model")));
    }
    HttpResponses.json(response, callback, Map.of("object", "list", "data", listed));
  }

  void complete(
      RequestContext context, String path, byte[] body, Response response, Callback callback)
      throws IOException {
    RoutingFields fields = parseRoutingFields(body);
    checkModelExists(fields.model());
    demand.count(fields.model());
    Target target = new Target.OfModel(fields.model());
    RequestTemplate template =
        new RequestTemplate("POST", path, HttpFields.EMPTY, body, fields.stream());
    if (fields.stream()) {
      streamCompletion(context, target, template, response, callback);
      return;
    }
    write(forwarder.forward(context, target, template), response, callback);
  }

  private void streamCompletion(
      RequestContext context,
      Target target,
      RequestTemplate template,
      Response response,
      Callback callback)
      throws IOException {
    RetrySequence attempts = forwarder.newSequence(context, target, template);
    EventStreamForwarder events = new EventStreamForwarder(response);
    try {
      while (true) {
        ActiveAttempt attempt = attempts.nextAttempt(events.lastEventId());
        boolean error = attempt.response().status() != HttpStatus.OK_200;
        if (error && !events.hasForwardedEvents()) {
          Optional<BufferedResponse> complete = forwarder.complete(attempts, attempt, target);
          if (complete.isPresent()) {
            write(complete.get(), response, callback);
            return;
          }
          continue;
        }
        switch (events.forward(attempt.response())) {
          case EventStreamForwarder.Outcome.Completed() -> {
            attempts.succeeded(attempt);
            events.close();
            callback.succeeded();
            return;
          }
          case EventStreamForwarder.Outcome.CallerDisconnected() -> {
            attempts.abandoned(attempt);
            callback.failed(new IOException("caller disconnected"));
            return;
          }
          case EventStreamForwarder.Outcome.EndpointFailed(
                  String reason,
                  boolean connectionLost) -> {
            attempts.failed(attempt, reason, connectionLost);
            checkResumable(events, attempt, reason);
          }
        }
      }
    } catch (MagnoliavaleException e) {
      if (!events.hasForwardedEvents()) {
        throw e;
      }
      events.writeError(e);
      events.close();
      callback.succeeded();
    }
  }

  private static void write(BufferedResponse complete, Response response, Callback callback) {
    HttpResponses.write(
        response, callback, complete.status(), complete.contentType(), complete.body());
  }

  private static void checkResumable(
      EventStreamForwarder events, ActiveAttempt attempt, String reason) {
    boolean resumes = attempt.decision().candidate().endpoint().contract().resumesStreams();
    if (events.hasForwardedEvents() && (!resumes || !events.isResumable())) {
      throw MagnoliavaleException.of(
          ErrorCode.UPSTREAM_FAILED, "stream was interrupted and cannot be resumed: " + reason);
    }
  }

  private void checkModelExists(ModelName name) {
    Document document = forwarder.endpointSelector().snapshot().document();
    Optional<Model> model = Optional.ofNullable(document.models().get(name.model()));
    boolean exists =
        model.isPresent()
            && (name.adapter() == null || model.get().adapters().contains(name.adapter()));
    if (!exists) {
      throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "unknown model " + name);
    }
  }

  /** Parses the two fields that routing needs and skips all others. */
  private static RoutingFields parseRoutingFields(byte[] body) {
    String model = null;
    boolean stream = false;
    try (JsonParser parser = Json.MAPPER.createParser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw invalid("request body is not a JSON object");
      }
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String field = parser.currentName();
        parser.nextToken();
        switch (field) {
          case "model" -> model = parser.getValueAsString();
          case "stream" -> stream = parser.getValueAsBoolean();
          default -> parser.skipChildren();
        }
      }
      if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null) {
        throw invalid("request body is not a single JSON object");
      }
    } catch (IOException e) {
      throw invalid(
          "request body is not valid JSON: " + e.getMessage().lines().findFirst().orElse(""));
    }
    if (model == null) {
      throw invalid("request body has no model field");
    }
    return new RoutingFields(ModelName.parse(model), stream);
  }

  private static MagnoliavaleException invalid(String message) {
    return MagnoliavaleException.of(ErrorCode.INVALID_REQUEST, message);
  }
}
