package org.magnoliavale.internal.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.Service;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.RequestBodies;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.platform.Row;
import org.magnoliavale.internal.platform.TableResult;
import org.magnoliavale.internal.platform.Transaction;

/**
 * Simulates the platform in demos and tests: serves the table, the weight store and the list of
 * instances over HTTP. A POST to {@code /stand-in/faults} injects {@link PlatformFaults}.
 */
public final class PlatformStandIn implements Service {
  private record Keys(List<String> keys) {}

  private record Prefix(String prefix) {}

  private record Counts(long reads, long writes, long weightLoads) {}

  private static final Logger LOG = Logs.of("platform-stand-in");
  private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;
  private static final int MAXIMUM_HEADER_BYTES = 16_384;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private final InMemoryTable table = new InMemoryTable();
  private final RateLimiter readLimiter;
  private final RateLimiter writeLimiter;
  private final WeightStoreStandIn weightStore;
  private final InstanceListStandIn instances;
  private final Server server;
  private final AtomicInteger responsesToDrop = new AtomicInteger();
  private final AtomicLong readCount = new AtomicLong();
  private final AtomicLong writeCount = new AtomicLong();
  private volatile PlatformFaults faults = PlatformFaults.NONE;
  private int port;

  /**
   * Creates a stand-in, not yet started.
   *
   * @param address the address to listen on
   * @param limits rates of the table and of the weight store
   * @param instances the list of instances; started and stopped with the stand-in
   */
  public PlatformStandIn(
      InetSocketAddress address, PlatformLimits limits, InstanceListStandIn instances) {
    this.readLimiter = new RateLimiter(limits.readsPerSecond());
    this.writeLimiter = new RateLimiter(limits.writesPerSecond());
    this.weightStore =
        new WeightStoreStandIn(limits.loadsPerSecond(), limits.maximumConcurrentLoads());
    this.instances = instances;
    this.server =
        HttpServers.create(
            "platform-stand-in", address, MAXIMUM_HEADER_BYTES, IDLE_TIMEOUT, new Handler());
  }

  @Override
  public void start() {
    port = HttpServers.start(server);
    instances.start();
    LOG.infof("Platform stand-in started. port=%d", port);
  }

  @Override
  public void stop() {
    instances.stop();
    HttpServers.stop(server);
  }

  /** Returns the port that the started server listens on. */
  public int port() {
    return port;
  }

  private final class Handler extends BlockingHandler {
    Handler() {
      super(LOG);
    }

    @Override
    protected void respond(Request request, Response response, Callback callback)
        throws IOException {
      String path = Request.getPathInContext(request);
      byte[] body = RequestBodies.read(request, MAXIMUM_BODY_BYTES);
      switch (path) {
        case "/table/commit" -> commit(Json.read(body, Transaction.class), response, callback);
        case "/table/read" -> {
          admitRead();
          respond(table.read(Json.read(body, Keys.class).keys()), response, callback);
        }
        case "/table/scan" -> {
          admitRead();
          respond(table.scan(Json.read(body, Prefix.class).prefix()), response, callback);
        }
        case "/instances" ->
            HttpResponses.json(response, callback, Map.of("instances", instances.visible()));
        case "/weights" -> {
          weightStore.load();
          HttpResponses.json(response, callback, Map.of("loaded", true));
        }
        case "/stand-in/faults" -> {
          faults = Json.read(body, PlatformFaults.class);
          responsesToDrop.set(faults.loseAnswers());
          LOG.infof("Faults set. faults=%s", faults);
          HttpResponses.json(response, callback, faults);
        }
        case "/stand-in/counts" ->
            HttpResponses.json(
                response,
                callback,
                new Counts(readCount.get(), writeCount.get(), weightStore.loadCount()));
        default -> throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "no such path: " + path);
      }
    }

    private void admitRead() {
      readCount.incrementAndGet();
      admit(readLimiter);
    }

    private void admit(RateLimiter limiter) {
      PlatformFaults current = faults;
      if (current.down()) {
        throw MagnoliavaleException.of(
            ErrorCode.PLATFORM_UNAVAILABLE, "table is unavailable by fault injection");
      }
      if (!limiter.tryAcquire()) {
        throw MagnoliavaleException.of(ErrorCode.OVERLOADED, "table rate limit exceeded");
      }
      if (current.delayMs() > 0) {
        LockSupport.parkNanos(Duration.ofMillis(current.delayMs()).toNanos());
      }
    }

    private void commit(Transaction transaction, Response response, Callback callback) {
      writeCount.incrementAndGet();
      admit(writeLimiter);
      TableResult result = table.commit(transaction);
      boolean dropped = responsesToDrop.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
      if (dropped) {
        // Simulates a network failure after the commit: the connection is closed without a
        // response.
        request(response).getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new IOException("response dropped by fault injection"));
        return;
      }
      respond(result, response, callback);
    }

    private static Request request(Response response) {
      return response.getRequest();
    }

    private void respond(TableResult result, Response response, Callback callback) {
      switch (result) {
        case TableResult.Success(List<Row> rows, long ignored) ->
            write(HttpStatus.OK_200, rows, response, callback);
        case TableResult.ConditionFailed(List<Row> rows) ->
            write(HttpStatus.CONFLICT_409, rows, response, callback);
        case TableResult.OutcomeUnknown(String reason) -> throw new IllegalStateException(reason);
        case TableResult.Unavailable(String reason) -> throw new IllegalStateException(reason);
      }
    }

    private static void write(int status, List<Row> rows, Response response, Callback callback) {
      Map<String, Object> body = new LinkedHashMap<>();
      body.put("rows", rows);
      HttpResponses.write(response, callback, status, "application/json", Json.bytes(body));
    }
  }
}
