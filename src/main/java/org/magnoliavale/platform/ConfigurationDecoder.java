package org.magnoliavale.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;
import org.magnoliavale.internal.route.WeightedService;

/** Decodes the operator's configuration from JSON. */
final class ConfigurationDecoder {
  private static final int DEFAULT_BODY_BYTES = 4 << 20;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  private ConfigurationDecoder() {}

  /** Decodes a configuration without validating it; the store accepts only valid ones. */
  static RouteTable decode(byte[] bytes) throws IOException {
    JsonNode tree = Json.tree(bytes);
    try {
      List<Route> routes = new ArrayList<>();
      tree.path("routes").forEach(route -> routes.add(decodeRoute(route)));
      List<ServiceSpecification> services = new ArrayList<>();
      tree.path("services").forEach(service -> services.add(decodeService(service)));
      int maximumBodyBytes = tree.path("limits").path("body-bytes").asInt(DEFAULT_BODY_BYTES);
      return RouteTable.of(tree.path("version").asLong(), routes, services, maximumBodyBytes);
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private static Route decodeRoute(JsonNode route) {
    return new Route(
        route.path("name").asText(),
        route.path("host").asText().toLowerCase(Locale.ROOT),
        route.path("prefix").asText(),
        decodeKind(route.path("kind").asText()),
        route.path("resumable").asBoolean(),
        route.path("priority").asInt(),
        Math.max(1, route.path("attempts").asInt(1)),
        Duration.ofMillis(route.path("timeout-ms").asLong()),
        Duration.ofMillis(route.path("target-latency-ms").asLong()),
        decodeWeightedServices(route));
  }

  private static CallKind decodeKind(String name) {
    return switch (name) {
      case "safe" -> CallKind.IDEMPOTENT;
      case "stream" -> CallKind.STREAM;
      // Requests of an unknown kind are treated as non-idempotent.
      default -> CallKind.NON_IDEMPOTENT;
    };
  }

  private static List<WeightedService> decodeWeightedServices(JsonNode route) {
    List<WeightedService> weightedServices = new ArrayList<>();
    for (JsonNode weightedService : route.path("split")) {
      weightedServices.add(
          new WeightedService(
              new ServiceId(weightedService.path("service").asText()),
              weightedService.path("weight").asDouble()));
    }
    if (weightedServices.isEmpty()) {
      weightedServices.add(new WeightedService(new ServiceId(route.path("service").asText()), 1));
    }
    return weightedServices;
  }

  private static ServiceSpecification decodeService(JsonNode service) {
    JsonNode engine = service.path("engine");
    return new ServiceSpecification(
        new ServiceId(service.path("name").asText()),
        service.path("connection-limit").asInt(Integer.MAX_VALUE),
        engine.isObject() ? Optional.of(decodeEngine(engine)) : Optional.empty());
  }

  private static EngineSpecification decodeEngine(JsonNode engine) {
    Map<String, ModelSpecification> models = new LinkedHashMap<>();
    for (JsonNode model : engine.path("models")) {
      String name = model.path("name").asText();
      models.put(
          name,
          new ModelSpecification(
              name,
              model.path("weights-mb").asDouble(),
              decodeDuration(model, "load-s", "load-s"),
              decodeDuration(model, "disk-s", "load-s"),
              decodeDuration(model, "warm-s", "load-s"),
              model.path("adapters").asInt(),
              model.path("adapter-mb").asDouble()));
    }
    return new EngineSpecification(
        engine.path("slots").asInt(),
        engine.path("kv-cache-tokens").asLong(),
        engine.path("weights-mb").asDouble(),
        engine.path("adapter-slots").asInt(),
        engine.path("loads-per-s").asDouble(),
        models);
  }

  private static Duration decodeDuration(JsonNode node, String key, String fallbackKey) {
    double seconds = node.path(key).asDouble(node.path(fallbackKey).asDouble());
    return Duration.ofMillis((long) (seconds * MILLISECONDS_PER_SECOND));
  }
}
