package org.magnoliavale.platform;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.magnoliavale.internal.identifier.ServiceId;
import org.magnoliavale.internal.identifier.TenantId;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.route.CallKind;
import org.magnoliavale.internal.route.EngineSpecification;
import org.magnoliavale.internal.route.ModelSpecification;
import org.magnoliavale.internal.route.Quota;
import org.magnoliavale.internal.route.Route;
import org.magnoliavale.internal.route.RouteTable;
import org.magnoliavale.internal.route.ServiceSpecification;
import org.magnoliavale.internal.route.Tenant;
import org.magnoliavale.internal.route.TenantTable;
import org.magnoliavale.internal.route.WeightedService;

/** Decodes the operator's configuration from JSON. */
final class ConfigurationDecoder {
  private static final int DEFAULT_BODY_BYTES = 4 << 20;
  private static final double MILLISECONDS_PER_SECOND = 1_000;
  private static final long MAXIMUM_TIME_MS = Route.MAXIMUM_TIMEOUT.toMillis();
  private static final int UNLIMITED_BODY_BYTES = -1;
  private static final int MAXIMUM_PRIORITY = 1_000;
  private static final int MAXIMUM_ATTEMPTS = 1_000;

  /** Largest weight, number or size that an entry may state; far beyond any real one. */
  private static final double MAXIMUM_AMOUNT = 1e12;

  private static final int MAXIMUM_COUNT = 1_000_000;

  private ConfigurationDecoder() {}

  /**
   * Decodes a configuration without validating it; the store accepts only valid ones. Numbers are
   * bounded, and those that are missing or no numbers have their defaults.
   *
   * @throws IOException if it is no configuration, or has no version
   */
  static RouteTable decode(byte[] bytes) throws IOException {
    JsonNode tree = parse(bytes);
    JsonNode version = tree.path("version");
    if (!version.isIntegralNumber() || !version.canConvertToLong()) {
      throw new IOException("no configuration with a version");
    }
    try {
      List<Route> routes = new ArrayList<>();
      tree.path("routes").forEach(route -> routes.add(decodeRoute(route)));
      List<ServiceSpecification> services = new ArrayList<>();
      tree.path("services").forEach(service -> services.add(decodeService(service)));
      int maximumBodyBytes =
          BoundedNumbers.whole(
              tree.path("limits").path("body-bytes"),
              UNLIMITED_BODY_BYTES,
              Integer.MAX_VALUE,
              DEFAULT_BODY_BYTES);
      return RouteTable.of(
          version.asLong(),
          routes,
          services,
          decodeTenants(tree.path("tenants")),
          maximumBodyBytes);
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  /** Parses JSON; the exception does not quote the text, which contains keys of callers. */
  private static JsonNode parse(byte[] bytes) throws IOException {
    try {
      return Json.tree(bytes);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      throw new IOException(
          location == null
              ? "malformed JSON"
              : "malformed JSON at byte " + location.getByteOffset());
    }
  }

  private static Route decodeRoute(JsonNode route) {
    return new Route(
        route.path("name").asText(),
        route.path("host").asText().toLowerCase(Locale.ROOT),
        route.path("prefix").asText(),
        decodeKind(route.path("kind").asText()),
        route.path("resumable").asBoolean(),
        BoundedNumbers.whole(route.path("priority"), 0, MAXIMUM_PRIORITY, 0),
        BoundedNumbers.whole(route.path("attempts"), 1, MAXIMUM_ATTEMPTS, 1),
        decodeMilliseconds(route.path("timeout-ms")),
        decodeMilliseconds(route.path("target-latency-ms")),
        decodeMilliseconds(route.path("target-gap-ms")),
        route.path("public").asBoolean(),
        decodeWeightedServices(route));
  }

  private static Duration decodeMilliseconds(JsonNode node) {
    return Duration.ofMillis((long) BoundedNumbers.decimal(node, 0, MAXIMUM_TIME_MS, 0));
  }

  private static double decodeAmount(JsonNode node) {
    return BoundedNumbers.decimal(node, 0, MAXIMUM_AMOUNT, 0);
  }

  private static int decodeCount(JsonNode node) {
    return BoundedNumbers.whole(node, 0, MAXIMUM_COUNT, 0);
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
              decodeAmount(weightedService.path("weight"))));
    }
    if (weightedServices.isEmpty()) {
      weightedServices.add(new WeightedService(new ServiceId(route.path("service").asText()), 1));
    }
    return weightedServices;
  }

  private static TenantTable decodeTenants(JsonNode nodes) {
    List<Tenant> tenants = new ArrayList<>();
    nodes.forEach(tenant -> tenants.add(decodeTenant(tenant)));
    return tenants.isEmpty() ? TenantTable.none() : TenantTable.of(tenants);
  }

  private static Tenant decodeTenant(JsonNode tenant) {
    Set<String> keys = new LinkedHashSet<>();
    for (JsonNode key : tenant.path("keys")) {
      if (key.isTextual() && !key.asText().isEmpty()) {
        keys.add(key.asText());
      }
    }
    JsonNode priority = tenant.path("priority");
    return new Tenant(
        new TenantId(tenant.path("name").asText()),
        keys,
        priority.isNumber()
            ? OptionalInt.of(BoundedNumbers.whole(priority, 0, MAXIMUM_PRIORITY, 0))
            : OptionalInt.empty(),
        decodeQuota(tenant));
  }

  /** Decodes a quota; a rate of 0 stands for none. */
  private static Optional<Quota> decodeQuota(JsonNode tenant) {
    double perSecond = decodeAmount(tenant.path("requests-per-s"));
    if (perSecond <= 0) {
      return Optional.empty();
    }
    boolean tokens = tenant.path("unit").asText().equals("tokens");
    return Optional.of(
        new Quota(
            tokens ? Quota.Unit.TOKENS : Quota.Unit.REQUESTS,
            perSecond,
            decodeAmount(tenant.path("burst")),
            tokens ? decodeAmount(tenant.path("plain-tokens")) : 1));
  }

  private static ServiceSpecification decodeService(JsonNode service) {
    JsonNode engine = service.path("engine");
    return new ServiceSpecification(
        new ServiceId(service.path("name").asText()),
        BoundedNumbers.whole(
            service.path("connection-limit"), 1, Integer.MAX_VALUE, Integer.MAX_VALUE),
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
              decodeAmount(model.path("weights-mb")),
              decodeDuration(model, "load-s", "load-s"),
              decodeDuration(model, "disk-s", "load-s"),
              decodeDuration(model, "warm-s", "load-s"),
              decodeCount(model.path("adapters")),
              decodeAmount(model.path("adapter-mb"))));
    }
    return new EngineSpecification(
        decodeCount(engine.path("slots")),
        (long) decodeAmount(engine.path("kv-cache-tokens")),
        decodeAmount(engine.path("weights-mb")),
        decodeCount(engine.path("adapter-slots")),
        decodeAmount(engine.path("loads-per-s")),
        models);
  }

  private static Duration decodeDuration(JsonNode node, String key, String fallbackKey) {
    double maximumSeconds = MAXIMUM_TIME_MS / MILLISECONDS_PER_SECOND;
    double fallback = BoundedNumbers.decimal(node.path(fallbackKey), 0, maximumSeconds, 0);
    double seconds = BoundedNumbers.decimal(node.path(key), 0, maximumSeconds, fallback);
    return Duration.ofMillis((long) (seconds * MILLISECONDS_PER_SECOND));
  }
}
