package org.magnoliavale.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.magnoliavale.Service;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.HttpAddresses;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.RequestBodies;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;

/**
 * Stand-in for one worker of the platform. It answers plain requests, streams events for requests
 * that name a model, carries out commands at once and lists itself in the store. Thread-safe.
 */
final class WorkerStandIn implements Service {
  private static final String TABLE = "servers";
  private static final String JSON = "application/json";
  private static final int SLOTS = 8;
  private static final int EVENTS_PER_STREAM = 10;
  private static final long EVENT_INTERVAL_MS = 10;
  private static final long HEARTBEAT_INTERVAL_MS = 1_200;
  private static final int MAXIMUM_BODY_BYTES = 1 << 20;
  private static final int MAXIMUM_HEADER_BYTES = 16_384;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private final class Handler extends BlockingHandler {
    Handler() {
      super(Logs.of("worker-stand-in"));
    }

    @Override
    protected void respond(Request request, Response response, Callback callback) throws Exception {
      switch (Request.getPathInContext(request)) {
        case "/-/report" -> HttpResponses.json(response, callback, report());
        case "/-/order" -> {
          JsonNode command = Json.tree(RequestBodies.read(request, MAXIMUM_BODY_BYTES));
          int status = execute(command);
          HttpResponses.write(response, callback, status, JSON, new byte[0]);
        }
        default -> serve(request, response, callback);
      }
    }
  }

  private final String id;
  private final String service;
  private final String zone;
  private final StoreStandIn store;
  private final Server server;
  private final AtomicInteger running = new AtomicInteger();
  private final Map<String, Set<String>> models = new TreeMap<>();
  private long commandCount;
  private long heartbeatCount;
  private volatile boolean stopped;
  private volatile InetSocketAddress address;

  WorkerStandIn(String id, String service, String zone, StoreStandIn store) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.server =
        HttpServers.create(id, loopback(0), MAXIMUM_HEADER_BYTES, IDLE_TIMEOUT, new Handler());
  }

  @Override
  public void start() {
    address = loopback(HttpServers.start(server));
    writeEntry();
    Thread.ofVirtual().name(id).start(this::heartbeatLoop);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  @Override
  public void stop() {
    stopped = true;
    HttpServers.stop(server);
  }

  private void heartbeatLoop() {
    while (!stopped) {
      writeEntry();
      sleep(HEARTBEAT_INTERVAL_MS);
    }
  }

  private synchronized void writeEntry() {
    ObjectNode entry = JsonNodeFactory.instance.objectNode();
    entry.put("service", service);
    entry.put("address", HttpAddresses.format(address));
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", SLOTS);
    entry.put("state", "ready");
    entry.put("cold-remaining-ms", 0);
    entry.put("sequence", ++heartbeatCount);
    entry.put("born", 1);
    addModels(entry);
    store.write(TABLE, id, Json.bytes(entry));
  }

  private synchronized ObjectNode report() {
    ObjectNode report = JsonNodeFactory.instance.objectNode();
    report.put("stage", "prefill_and_decode");
    report.put("busy", false);
    report.put("sequence", commandCount);
    report.put("waiting", 0);
    report.put("running", running.get());
    report.put("born", 1);
    addModels(report);
    return report;
  }

  private void addModels(ObjectNode node) {
    var list = node.putArray("models");
    models.forEach(
        (name, adapters) -> {
          var names = list.addObject().put("name", name).put("version", 1).putArray("adapters");
          adapters.forEach(names::add);
        });
  }

  private synchronized int execute(JsonNode command) {
    String model = command.path("model").asText();
    String adapter = command.path("adapter").asText("");
    boolean load = command.path("operation").asText().equals("load");
    if (command.path("expected-revision").asLong(commandCount) != commandCount) {
      return HttpStatus.CONFLICT_409;
    }
    commandCount++;
    if (load) {
      Set<String> adapters = models.computeIfAbsent(model, ignored -> new TreeSet<>());
      if (!adapter.isEmpty()) {
        adapters.add(adapter);
      }
    } else if (adapter.isEmpty()) {
      models.remove(model);
    } else if (models.containsKey(model)) {
      models.get(model).remove(adapter);
    }
    writeEntry();
    return HttpStatus.ACCEPTED_202;
  }

  private void serve(Request request, Response response, Callback callback) throws Exception {
    RequestBodies.read(request, MAXIMUM_BODY_BYTES);
    running.incrementAndGet();
    try {
      copyHeader(request, response, "X-Request-Attempt-Id");
      response.getHeaders().put("X-Response-Signature", "stand-in");
      response.getHeaders().put("X-Server-Load", running.get() + ",0," + SLOTS);
      if (request.getHeaders().contains("X-Model")) {
        stream(response, callback);
      } else {
        byte[] body = "served".getBytes(StandardCharsets.UTF_8);
        HttpResponses.write(response, callback, HttpStatus.OK_200, "text/plain", body);
      }
    } finally {
      running.decrementAndGet();
    }
  }

  private static void stream(Response response, Callback callback) throws Exception {
    response.setStatus(HttpStatus.OK_200);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    for (int number = 1; number <= EVENTS_PER_STREAM; number++) {
      String event = "id: " + number + "\ndata: token\n\n";
      ByteBuffer bytes = ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8));
      Content.Sink.write(response, false, bytes);
      sleep(EVENT_INTERVAL_MS);
    }
    response.write(true, null, callback);
  }

  private static void copyHeader(Request request, Response response, String name) {
    String value = request.getHeaders().get(name);
    if (value != null) {
      response.getHeaders().put(name, value);
    }
  }

  private static void sleep(long milliseconds) {
    try {
      TimeUnit.MILLISECONDS.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
