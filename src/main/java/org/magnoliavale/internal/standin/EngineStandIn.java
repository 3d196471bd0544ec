package org.magnoliavale.internal.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.jboss.logging.Logger;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.Service;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.engine.EngineCommand;
import org.magnoliavale.internal.engine.EngineReport;
import org.magnoliavale.internal.http.BlockingHandler;
import org.magnoliavale.internal.http.HeaderNames;
import org.magnoliavale.internal.http.HttpResponses;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.RequestBodies;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;

/**
 * Simulates one model engine in demos and tests. Its tokens are a function of the prompt and the
 * position only, so that callers can verify responses; with all slots in use, its throughput is the
 * endpoint's nominal one. A POST to {@code /stand-in/faults} injects {@link EngineFaults}.
 *
 * <p>{@link #start} opens the server and publishes reports periodically; {@link #stop} ends both.
 * Requests run on the server's threads; {@link #crash} may be called from any thread.
 */
public final class EngineStandIn implements Service {
  /** A prompt that contains this text crashes the engine. */
  public static final String CRASH_MARKER = "crash-this-endpoint";

  private static final Logger LOG = Logs.of("engine-stand-in");
  private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;
  private static final int MAXIMUM_HEADER_BYTES = 16_384;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration SILENCE_DURATION = Duration.ofSeconds(50);
  private static final Duration RESTART_DELAY = Duration.ofMillis(1_500);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

  private final Endpoint endpoint;
  private final WeightLoader weights;
  private final EngineMemory memory;
  private final Batcher batcher;
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicInteger commandsToDrop = new AtomicInteger();
  private final AtomicInteger responsesToTruncate = new AtomicInteger();
  private final AtomicInteger responsesToMislabel = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private final Set<String> openConnections = ConcurrentHashMap.newKeySet();
  private final Set<String> silentConnections = ConcurrentHashMap.newKeySet();
  private volatile long commandDelayMs;
  private volatile EngineReport publishedReport;
  private volatile boolean stopped;
  private volatile Server server;

  private EngineStandIn(Endpoint endpoint, WeightLoader weights) {
    this.endpoint = endpoint;
    this.weights = weights;
    this.memory = new EngineMemory(endpoint.memoryBytes(), endpoint.contract());
    this.batcher = new Batcher(endpoint.slots(), endpoint.tokensPerSecond());
  }

  /** Returns a stand-in for an engine of the document, not yet started. */
  public static EngineStandIn of(Endpoint endpoint, WeightLoader weights) {
    return new EngineStandIn(endpoint, weights);
  }

  @Override
  public void start() {
    batcher.start();
    publishedReport = report();
    Thread.ofVirtual().start(this::publishReports);
    startServer();
    LOG.infof("Engine stand-in started. endpoint=%s", endpoint.id());
  }

  @Override
  public void stop() {
    stopped = true;
    batcher.stop();
    HttpServers.stop(server);
  }

  /** Returns whether memory use ever exceeded the capacity. */
  public boolean everOvercommitted() {
    return memory.everOvercommitted();
  }

  /** Returns the number of crashes so far. */
  public int crashes() {
    return crashes.get();
  }

  /** Aborts all requests, closes all connections, and restarts with empty memory after a delay. */
  public void crash() {
    crashes.incrementAndGet();
    // As when a process dies, its state is gone before its connections are closed.
    memory.restart();
    publishedReport = report();
    LOG.infof("Engine stand-in crashed. endpoint=%s", endpoint.id());
    Thread.ofPlatform().daemon().start(this::crashAndRestart);
  }

  private synchronized void crashAndRestart() {
    HttpServers.stop(server);
    batcher.failAll();
    openConnections.clear();
    silentConnections.clear();
    try {
      Thread.sleep(RESTART_DELAY.toMillis());
    } catch (InterruptedException e) {
      return;
    }
    publishedReport = report();
    if (!stopped) {
      startServer();
    }
  }

  private void startServer() {
    InetSocketAddress address = endpoint.address();
    server =
        HttpServers.create(
            "engine-" + endpoint.id(),
            address,
            MAXIMUM_HEADER_BYTES,
            IDLE_TIMEOUT,
            new EngineHandler());
    HttpServers.start(server);
  }

  private void publishReports() {
    try {
      while (!stopped) {
        Thread.sleep(REPORT_INTERVAL.toMillis());
        publishedReport = report();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private EngineReport report() {
    return new EngineReport(
        memory.incarnation(),
        sequence.incrementAndGet(),
        endpoint.memoryBytes(),
        memory.highestFencingToken(),
        false,
        batcher.runningCount(),
        batcher.waitingCount(),
        batcher.queuedTokens(),
        memory.residents(),
        memory.transmissions());
  }

  private void setFaults(EngineFaults faults) {
    LOG.infof("Faults set. endpoint=%s faults=%s", endpoint.id(), faults);
    batcher.setSlowdown(faults.slowdown());
    commandsToDrop.set(faults.loseOrders());
    responsesToTruncate.set(faults.cutAnswers());
    responsesToMislabel.set(faults.foreignAnswers());
    commandDelayMs = faults.lateOrderMs();
    if (faults.silence()) {
      silentConnections.addAll(openConnections);
    }
    if (faults.crash()) {
      crash();
    }
  }

  private static boolean decrementIfPositive(AtomicInteger counter) {
    return counter.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }

  private final class EngineHandler extends BlockingHandler {
    EngineHandler() {
      super(LOG);
    }

    @Override
    protected void respond(Request request, Response response, Callback callback) throws Exception {
      String path = Request.getPathInContext(request);
      byte[] body = RequestBodies.read(request, MAXIMUM_BODY_BYTES);
      if (path.equals("/stand-in/faults")) {
        setFaults(Json.read(body, EngineFaults.class));
        HttpResponses.json(response, callback, Map.of("set", true));
        return;
      }
      String connection = request.getConnectionMetaData().getId();
      openConnections.add(connection);
      if (silentConnections.contains(connection)) {
        Thread.sleep(SILENCE_DURATION);
        abort(request, callback);
        return;
      }
      switch (path) {
        case "/engine/report" -> HttpResponses.json(response, callback, publishedReport);
        case "/engine/orders" ->
            handleCommand(Json.read(body, EngineCommand.class), request, response, callback);
        case "/stand-in/state" ->
            HttpResponses.json(
                response,
                callback,
                Map.of("everOvercommitted", memory.everOvercommitted(), "crashes", crashes.get()));
        case "/v1/completions", "/v1/chat/completions" ->
            complete(CompletionRequest.parse(body), request, response, callback);
        default -> throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "no such path: " + path);
      }
    }

    private static void abort(Request request, Callback callback) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IOException("connection aborted by fault injection"));
    }

    private void handleCommand(
        EngineCommand command, Request request, Response response, Callback callback) {
      if (decrementIfPositive(commandsToDrop)) {
        abort(request, callback);
        return;
      }
      if (commandDelayMs > 0) {
        executeLater(command, commandDelayMs);
        abort(request, callback);
        return;
      }
      boolean accepted = execute(command) == EngineMemory.ExecutionResult.ACCEPTED;
      HttpResponses.write(
          response,
          callback,
          accepted ? HttpStatus.ACCEPTED_202 : HttpStatus.CONFLICT_409,
          "application/json",
          Json.bytes(Map.of("accepted", accepted)));
    }

    private void executeLater(EngineCommand command, long delayMs) {
      Thread.ofVirtual()
          .start(
              () -> {
                try {
                  Thread.sleep(delayMs);
                  execute(command);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
    }

    private EngineMemory.ExecutionResult execute(EngineCommand command) {
      EngineMemory.ExecutionResult result = memory.execute(command);
      if (result == EngineMemory.ExecutionResult.ACCEPTED && memory.isLoading(command.artifact())) {
        String incarnation = memory.incarnation();
        Thread.ofVirtual()
            .start(
                () -> {
                  weights.load(command.artifact());
                  memory.finishLoad(command, incarnation);
                });
      }
      return result;
    }

    private void complete(
        CompletionRequest completion, Request request, Response response, Callback callback)
        throws Exception {
      String artifact = request.getHeaders().get(HeaderNames.ARTIFACT);
      if (artifact == null || !memory.isReady(artifact)) {
        HttpResponses.write(
            response,
            callback,
            HttpStatus.NOT_FOUND_404,
            "application/json",
            Json.bytes(Map.of("error", "artifact is not resident: " + artifact)));
        return;
      }
      if (completion.prompt().contains(CRASH_MARKER)) {
        crash();
        abort(request, callback);
        return;
      }
      generate(completion, request, response, callback);
    }

    private void generate(
        CompletionRequest completion, Request request, Response response, Callback callback)
        throws Exception {
      int priority = (int) longHeader(request, HeaderNames.PRIORITY, 0);
      int firstIndex = (int) longHeader(request, HeaderNames.LAST_EVENT_ID, -1) + 1;
      int prefill = batcher.prefillSteps(completion.prefix(), completion.prompt());
      Generation generation =
          new Generation(priority, prefill, firstIndex, completion.maximumTokens());
      String attempt = request.getHeaders().get(HeaderNames.ATTEMPT_ID);
      String attemptId = decrementIfPositive(responsesToMislabel) ? "another-attempt" : attempt;
      response.getHeaders().put(HeaderNames.ATTEMPT_ID, attemptId == null ? "" : attemptId);
      batcher.add(generation);
      try {
        if (completion.stream()) {
          respondStream(completion, generation, firstIndex, request, response, callback);
        } else {
          respondComplete(completion, generation, request, response, callback);
        }
      } finally {
        generation.cancel();
      }
    }

    private void respondComplete(
        CompletionRequest completion,
        Generation generation,
        Request request,
        Response response,
        Callback callback)
        throws InterruptedException {
      StringBuilder text = new StringBuilder();
      for (int left = completion.maximumTokens(); left > 0; left--) {
        int index = generation.awaitToken();
        if (index == Generation.FAILED) {
          abort(request, callback);
          return;
        }
        text.append(StandInTokens.token(completion.prompt(), index));
      }
      byte[] body = CompletionResponses.completion(completion, text.toString());
      if (decrementIfPositive(responsesToTruncate)) {
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        byte[] half = Arrays.copyOf(body, body.length / 2);
        response.write(
            false,
            ByteBuffer.wrap(half),
            Callback.from(() -> abort(request, callback), callback::failed));
        return;
      }
      HttpResponses.write(response, callback, 200, "application/json", body);
    }

    private void respondStream(
        CompletionRequest completion,
        Generation generation,
        int firstIndex,
        Request request,
        Response response,
        Callback callback)
        throws Exception {
      response.setStatus(200);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
      boolean cut = decrementIfPositive(responsesToTruncate);
      try (OutputStream output = Content.Sink.asOutputStream(response)) {
        for (int sent = firstIndex; sent < completion.maximumTokens(); sent++) {
          int index = generation.awaitToken();
          boolean truncate = cut && sent * 2 >= completion.maximumTokens();
          if (index == Generation.FAILED || truncate) {
            abort(request, callback);
            return;
          }
          output.write(CompletionResponses.streamEvent(completion, index));
          output.flush();
        }
        output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
      }
      callback.succeeded();
    }

    private static long longHeader(Request request, String name, long defaultValue) {
      String value = request.getHeaders().get(name);
      return value == null ? defaultValue : Long.parseLong(value);
    }
  }

  /** Loads weights; {@link #load} blocks until the load is finished. */
  public interface WeightLoader {
    /** Loads the weights of an artifact. */
    void load(String artifact);
  }

  /** Returns the artifacts that are loaded or being loaded. */
  public List<String> residents() {
    return memory.residents().stream().map(resident -> resident.artifact()).toList();
  }
}
