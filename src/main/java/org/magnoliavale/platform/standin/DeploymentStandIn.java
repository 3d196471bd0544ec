package org.magnoliavale.platform.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;
import org.magnoliavale.Service;
import org.magnoliavale.internal.http.HttpAddresses;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;

/**
 * A small deployment on loopback: a store and its workers, with a configuration of a plain service
 * and an engine service. The system chooses the workers' ports.
 *
 * <p>Routes of host {@link #HOST}: {@code /read/} is idempotent, {@code /write/} is not, and {@code
 * /draft/} streams the answer of a model.
 */
public final class DeploymentStandIn implements Service {
  private static final Logger LOG = Logs.of("stand-in");

  /** Host name of all routes. */
  public static final String HOST = "menus.example";

  /** Data centre of the workers. */
  public static final String DATA_CENTRE = "local";

  private static final String PLAIN_SERVICE = "ordering";
  private static final String ENGINE_SERVICE = "assistant";
  private static final String OTHER_PREFIX = "/other-";
  private static final int ADAPTERS_PER_MODEL = 4;
  private static final long ROUTE_TIMEOUT_MS = 10_000;
  private static final long TARGET_LATENCY_MS = 500;

  private final DeploymentSize size;
  private final StoreStandIn store;
  private final List<WorkerStandIn> workers = new ArrayList<>();

  /**
   * Returns a deployment that is not started yet.
   *
   * @param storePort the port of the store; 0 if the system is to choose it
   */
  public DeploymentStandIn(int storePort, DeploymentSize size) {
    this.size = size;
    store = new StoreStandIn(loopback(storePort));
    for (int index = 1; index <= size.plainWorkers() + size.engineWorkers(); index++) {
      String service = index <= size.plainWorkers() ? PLAIN_SERVICE : ENGINE_SERVICE;
      workers.add(new WorkerStandIn("worker-" + index, service, DATA_CENTRE, store));
    }
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** Returns the port of the store, after the start. */
  public int storePort() {
    return store.port();
  }

  /** Returns the number of calls that the store has received. */
  public long storeCalls() {
    return store.calls();
  }

  @Override
  public void start() {
    store.start();
    store.write("op", "config", Json.bytes(configuration()));
    workers.forEach(WorkerStandIn::start);
    LOG.infof("Started. store=%s", HttpAddresses.format(loopback(store.port())));
  }

  @Override
  public void stop() {
    workers.forEach(WorkerStandIn::stop);
    store.stop();
  }

  private ObjectNode configuration() {
    ObjectNode configuration = JsonNodeFactory.instance.objectNode().put("version", 1);
    ArrayNode routes = configuration.putArray("routes");
    routes.add(route("/read/", "safe", PLAIN_SERVICE));
    routes.add(route("/write/", "unsafe", PLAIN_SERVICE));
    routes.add(route("/draft/", "stream", ENGINE_SERVICE).put("resumable", true));
    for (int number = 1; number <= size.otherRoutes(); number++) {
      routes.add(route(OTHER_PREFIX + number + "/", "safe", PLAIN_SERVICE));
    }
    ArrayNode services = configuration.putArray("services");
    services.addObject().put("name", PLAIN_SERVICE).put("connection-limit", 100);
    services
        .addObject()
        .put("name", ENGINE_SERVICE)
        .put("connection-limit", 100)
        .set("engine", engine());
    configuration.putObject("limits").put("body-bytes", 1 << 20);
    return configuration;
  }

  private static ObjectNode route(String prefix, String kind, String service) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("name", "route" + prefix.replace('/', '-'))
        .put("host", HOST)
        .put("prefix", prefix)
        .put("kind", kind)
        .put("service", service)
        .put("attempts", 2)
        .put("timeout-ms", ROUTE_TIMEOUT_MS)
        .put("target-latency-ms", TARGET_LATENCY_MS);
  }

  private ObjectNode engine() {
    ObjectNode engine =
        JsonNodeFactory.instance
            .objectNode()
            .put("slots", 8)
            .put("kv-cache-tokens", 100_000)
            .put("weights-mb", 220)
            .put("adapter-slots", 8)
            .put("loads-per-s", 2);
    ArrayNode models = engine.putArray("models");
    for (int number = 1; number <= size.models(); number++) {
      models
          .addObject()
          .put("name", "model-" + number)
          .put("weights-mb", 70)
          .put("load-s", 1)
          .put("disk-s", 0.5)
          .put("warm-s", 0.2)
          .put("adapters", ADAPTERS_PER_MODEL)
          .put("adapter-mb", 0.1);
    }
    return engine;
  }
}
