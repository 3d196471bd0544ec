package org.magnoliavale.soak;

import java.util.EnumMap;
import java.util.Map;

/**
 * The text of one version of the configuration: the routes of all kinds of requests, a route that
 * comes with this version, and what is set besides.
 */
final class ConfigurationText {
  private final int version;
  private final Map<Kind, Long> timeouts = new EnumMap<>(Kind.class);
  private final Map<Kind, String> targets = new EnumMap<>(Kind.class);
  private int addedRoutes = 1;
  private int connectionLimit = 200;
  private int slots = SoakWorker.SLOTS;
  private int bodyBytes = 1_048_576;
  private String otherLimits = "";
  private String addedModels = "";

  ConfigurationText(int version) {
    this.version = version;
    for (Kind kind : Kind.values()) {
      timeouts.put(kind, kind.timeoutMs());
      targets.put(kind, "\"service\":\"" + kind.service() + "\"");
    }
  }

  int version() {
    return version;
  }

  long timeoutMs(Kind kind) {
    return timeouts.get(kind);
  }

  ConfigurationText withTimeout(Kind kind, long milliseconds) {
    timeouts.put(kind, milliseconds);
    return this;
  }

  ConfigurationText withService(Kind kind, String service) {
    targets.put(kind, "\"service\":\"" + service + "\"");
    return this;
  }

  /** Sends the requests of a kind to both services, by weights. */
  ConfigurationText withSplit(Kind kind, int plainWeight, int engineWeight) {
    targets.put(
        kind,
        """
        "split":[{"service":"plain","weight":%d},{"service":"engine","weight":%d}]"""
            .formatted(plainWeight, engineWeight));
    return this;
  }

  ConfigurationText withAddedRoutes(int count) {
    addedRoutes = count;
    return this;
  }

  ConfigurationText withConnectionLimit(int connections) {
    connectionLimit = connections;
    return this;
  }

  ConfigurationText withSlots(int count) {
    slots = count;
    return this;
  }

  int bodyBytes() {
    return bodyBytes;
  }

  ConfigurationText withBodyBytes(int bytes) {
    bodyBytes = bytes;
    return this;
  }

  /** Sets another limit. */
  ConfigurationText withLimit(String name, long value) {
    otherLimits += ",\"" + name + "\":" + value;
    return this;
  }

  ConfigurationText withModel(String name) {
    addedModels = "," + model(name);
    return this;
  }

  String text() {
    StringBuilder routes = new StringBuilder();
    for (Kind kind : Kind.values()) {
      routes.append(route(kind.prefix(), kind)).append(',');
    }
    for (int number = 1; number < addedRoutes; number++) {
      routes.append(route("/added-%d-%d/".formatted(version, number), Kind.READ)).append(',');
    }
    routes.append(route("/added-%d/".formatted(version), Kind.READ));
    return """
        {"version":%d,"routes":[%s],"services":[{"name":"plain","connection-limit":%d},
        {"name":"engine","connection-limit":%d,"engine":{"slots":%d,"kv-cache-tokens":1000000,
        "weights-mb":220,"adapter-slots":8,"loads-per-s":2,"models":[%s%s]}}],
        "limits":{"body-bytes":%d%s}}"""
        .formatted(
            version,
            routes,
            connectionLimit,
            connectionLimit,
            slots,
            model(WorkerDescription.MODEL),
            addedModels,
            bodyBytes,
            otherLimits);
  }

  private static String model(String name) {
    return """
        {"name":"%s","weights-mb":70,"load-s":1,"disk-s":0.5,"warm-s":0.2,"adapters":0,
        "adapter-mb":0.1}"""
        .formatted(name);
  }

  private String route(String prefix, Kind kind) {
    return """
        {"name":"route%s","host":"%s","prefix":"%s","kind":"%s","resumable":%b,%s,
        "attempts":%d,"timeout-ms":%d,"target-latency-ms":500}"""
        .formatted(
            prefix.replace('/', '-'),
            SoakDeployment.HOST,
            prefix,
            kind.routeKind(),
            kind.resumable(),
            targets.get(kind),
            kind.attempts(),
            timeouts.get(kind));
  }
}
