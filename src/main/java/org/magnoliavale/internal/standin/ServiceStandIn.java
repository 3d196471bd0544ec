package org.magnoliavale.internal.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.Service;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.RequestBodies;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;

/**
 * Simulates one server of a plain service that places orders. It counts how often each order ran;
 * all servers of a service share the counters, so that a test can detect an order that ran twice.
 */
public final class ServiceStandIn implements Service {
  /** Counts the runs of each order across all servers of a service. Thread-safe. */
  public static final class RunCounters {
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();

    void add(String order) {
      counters.computeIfAbsent(order, ignored -> new AtomicLong()).incrementAndGet();
    }

    /** Returns the number of runs by order. */
    public Map<String, Long> counts() {
      Map<String, Long> counts = new TreeMap<>();
      counters.forEach((order, count) -> counts.put(order, count.get()));
      return counts;
    }
  }

  /**
   * Injected faults; a POST to {@code /stand-in/faults} replaces all of them.
   *
   * @param cutAfterRun whether the connection is closed after an order ran, without a response
   * @param cutBeforeRun whether the connection is closed before an order runs
   * @param delayMs duration of an order, in milliseconds
   */
  public record Faults(boolean cutAfterRun, boolean cutBeforeRun, long delayMs) {}

  private record OrderRequest(String order) {}

  private static final Logger LOG = Logs.of("service-stand-in");
  private static final int MAXIMUM_BODY_BYTES = 1024 * 1024;
  private static final int MAXIMUM_HEADER_BYTES = 16_384;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private final Endpoint endpoint;
  private final RunCounters runCounters;
  private final Server server;
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicLong ordersInProgress = new AtomicLong();
  private volatile Faults faults = new Faults(false, false, 0);

  private ServiceStandIn(Endpoint endpoint, RunCounters runCounters) {
    this.endpoint = endpoint;
    this.runCounters = runCounters;
    this.server =
        HttpServers.create(
            "service-" + endpoint.id(),
            endpoint.address(),
            MAXIMUM_HEADER_BYTES,
            IDLE_TIMEOUT,
            new ServiceHandler());
  }

  /** Returns a stand-in for a server of the document, not yet started. */
  public static ServiceStandIn of(Endpoint endpoint, RunCounters runCounters) {
    return new ServiceStandIn(endpoint, runCounters);
  }

  @Override
  public void start() {
    HttpServers.start(server);
    LOG.infof("Service stand-in started. endpoint=%s", endpoint.id());
  }

  @Override
  public void stop() {
    if (stopped.compareAndSet(false, true)) {
      HttpServers.stop(server);
    }
  }

  /** Replaces the injected faults. */
  public void setFaults(Faults replacement) {
    faults = replacement;
  }

  private final class ServiceHandler extends BlockingHandler {
    ServiceHandler() {
      super(LOG);
    }

    @Override
    protected void respond(Request request, Response response, Callback callback) throws Exception {
      String path = Request.getPathInContext(request);
      byte[] body = RequestBodies.read(request, MAXIMUM_BODY_BYTES);
      String attempt = request.getHeaders().get(HeaderNames.ATTEMPT_ID);
      if (attempt != null) {
        response.getHeaders().put(HeaderNames.ATTEMPT_ID, attempt);
      }
      switch (request.getMethod() + " " + path) {
        case "POST /orders" ->
            placeOrder(Json.read(body, OrderRequest.class), request, response, callback);
        case "GET /route-sheets" ->
            HttpResponses.json(
                response, callback, Map.of("routes", 3, "server", endpoint.id().value()));
        case "GET /engine/report" -> HttpResponses.json(response, callback, report());
        case "GET /stand-in/runs" -> HttpResponses.json(response, callback, runCounters.counts());
        case "POST /stand-in/faults" -> {
          setFaults(Json.read(body, Faults.class));
          HttpResponses.json(response, callback, faults);
        }
        default -> throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "no such path: " + path);
      }
    }

    private EngineReport report() {
      return new EngineReport(
          "service",
          sequence.incrementAndGet(),
          0,
          0,
          false,
          (int) ordersInProgress.get(),
          0,
          0,
          null,
          null);
    }

    private void placeOrder(
        OrderRequest order, Request request, Response response, Callback callback)
        throws InterruptedException {
      Faults current = faults;
      if (current.cutBeforeRun()) {
        closeConnection(request, callback);
        return;
      }
      ordersInProgress.incrementAndGet();
      try {
        Thread.sleep(current.delayMs());
        runCounters.add(order.order());
      } finally {
        ordersInProgress.decrementAndGet();
      }
      if (current.cutAfterRun()) {
        closeConnection(request, callback);
        return;
      }
      byte[] body = Json.bytes(Map.of("order", order.order(), "placed", true));
      HttpResponses.write(response, callback, HttpStatus.CREATED_201, "application/json", body);
    }

    private static void closeConnection(Request request, Callback callback) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IOException("connection closed by fault injection"));
    }
  }
}
