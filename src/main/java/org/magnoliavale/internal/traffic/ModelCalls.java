package org.magnoliavale.internal.traffic;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.Model;
import org.magnoliavale.internal.http.Replies;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.routing.ModelName;

/** Handles model requests: completions, streamed or not, and the list of models. */
final class ModelCalls {
  private record Heading(ModelName model, boolean stream) {}

  private record ListedModel(String id, String object) {}

  private final Forwarder forwarder;
  private final DemandCounter demand;

  ModelCalls(Forwarder forwarder, DemandCounter demand) {
    this.forwarder = forwarder;
    this.demand = demand;
  }

  void list(Response response, Callback callback) {
    List<ListedModel> listed = new ArrayList<>();
    for (Model model : forwarder.routing().snapshot().document().models().values()) {
      listed.add(new ListedModel(model.id().value(), "model"));
      model
          .adapters()
          .forEach(adapter -> listed.add(new ListedModel(model.id() + ":" + adapter, "model")));
    }
    Replies.json(response, callback, Map.of("object", "list", "data", listed));
  }

  void complete(
      RequestContext context, String path, byte[] body, Response response, Callback callback)
      throws IOException {
    Heading heading = heading(body);
    checkKnown(heading.model());
    demand.count(heading.model());
    Target target = new Target.OfModel(heading.model());
    CallTemplate template =
        new CallTemplate("POST", path, HttpFields.EMPTY, body, heading.stream());
    if (heading.stream()) {
      stream(context, target, template, response, callback);
      return;
    }
    WholeAnswer answer = forwarder.whole(context, target, template);
    Replies.write(response, callback, answer.status(), answer.contentType(), answer.body());
  }

  private void stream(
      RequestContext context,
      Target target,
      CallTemplate template,
      Response response,
      Callback callback)
      throws IOException {
    AttemptSeries series = forwarder.begin(context, target, template);
    StreamPump pump = new StreamPump(response);
    try {
      while (true) {
        OpenedAttempt opened = series.next(pump.resumeAfter());
        switch (pump.copy(opened.answer())) {
          case StreamPump.Ending.Complete() -> {
            series.succeeded(opened);
            pump.close();
            callback.succeeded();
            return;
          }
          case StreamPump.Ending.CallerGone() -> {
            series.abandoned(opened);
            callback.failed(new IOException("caller disconnected"));
            return;
          }
          case StreamPump.Ending.Broken(String reason, boolean connectionLost) -> {
            series.failed(opened, reason, connectionLost);
            checkCanContinue(pump, opened, reason);
          }
        }
      }
    } catch (MagnoliavaleException e) {
      if (!pump.hasPassedAnything()) {
        throw e;
      }
      pump.writeError(e);
      pump.close();
      callback.succeeded();
    }
  }

  private static void checkCanContinue(StreamPump pump, OpenedAttempt opened, String reason) {
    boolean resumes = opened.decision().candidate().endpoint().contract().resumesStreams();
    if (pump.hasPassedAnything() && (!resumes || !pump.canContinue())) {
      throw MagnoliavaleException.of(
          ErrorCode.UPSTREAM_FAILED, "stream was interrupted and cannot be resumed: " + reason);
    }
  }

  private void checkKnown(ModelName name) {
    Document document = forwarder.routing().snapshot().document();
    Optional<Model> model = Optional.ofNullable(document.models().get(name.model()));
    boolean known =
        model.isPresent()
            && (name.adapter() == null || model.get().adapters().contains(name.adapter()));
    if (!known) {
      throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "unknown model " + name);
    }
  }

  /** Parses the two fields that routing needs and skips all others. */
  private static Heading heading(byte[] body) {
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
      throw invalid("request body has no field model");
    }
    return new Heading(ModelName.parse(model), stream);
  }

  private static MagnoliavaleException invalid(String message) {
    return MagnoliavaleException.of(ErrorCode.INVALID_REQUEST, message);
  }
}
