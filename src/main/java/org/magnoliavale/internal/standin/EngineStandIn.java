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
import org.magnoliavale.internal.http.EngineHeaders;
import org.magnoliavale.internal.http.HttpServers;
import org.magnoliavale.internal.http.Replies;
import org.magnoliavale.internal.http.RequestBodies;
import org.magnoliavale.internal.json.Json;
import org.magnoliavale.internal.logging.Logs;

/**
 * Simulates one model engine in demos and tests. Its tokens are a function of the prompt and the
 * position only, so that callers can verify responses; its throughput is the endpoint's nominal
 * one. A POST to {@code /stand-in/faults} injects {@link EngineFaults}.
 *
 * <p>{@link #start} opens the server and publishes a report every {@code REPORT_LAG}; {@link #stop}
 * ends both. Requests run on the threads of the server; {@link #crash} may be called from any
 * thread.
 */
public final class EngineStandIn implements Service {
  /** A prompt that contains this text crashes the engine. */
  public static final String CRASH_MARKER = "crash-this-endpoint";

  private static final Logger LOG = Logs.of("engine-stand-in");
  private static final int MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;
  private static final int MAXIMUM_HEADER_BYTES = 16_384;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration SILENCE = Duration.ofSeconds(50);
  private static final Duration RESTART_TIME = Duration.ofMillis(1_500);
  private static final Duration REPORT_LAG = Duration.ofMillis(200);

  private final Endpoint endpoint;
  private final WeightLoader weights;
  private final EngineMemory memory;
  private final Batcher batcher;
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicInteger ordersToLose = new AtomicInteger();
  private final AtomicInteger answersToCut = new AtomicInteger();
  private final AtomicInteger answersToSwap = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private final Set<String> openConnections = ConcurrentHashMap.newKeySet();
  private final Set<String> silentConnections = ConcurrentHashMap.newKeySet();
  private volatile long lateOrderMs;
  private volatile EngineReport published;
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
    published = report();
    Thread.ofVirtual().start(this::publishLoop);
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

  /**
   * Aborts all requests in progress, closes all connections, and restarts the engine with empty
   * memory after {@code RESTART_TIME}. Returns at once.
   */
  public void crash() {
    crashes.incrementAndGet();
    // As when a process dies, its state is gone before its connections are closed.
    memory.restart();
    published = report();
    LOG.infof("Engine stand-in crashed. endpoint=%s", endpoint.id());
    Thread.ofPlatform().daemon().start(this::crashAndRestart);
  }

  private synchronized void crashAndRestart() {
    HttpServers.stop(server);
    batcher.failAll();
    openConnections.clear();
    silentConnections.clear();
    try {
      Thread.sleep(RESTART_TIME.toMillis());
    } catch (InterruptedException e) {
      return;
    }
    published = report();
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

  private void publishLoop() {
    try {
      while (!stopped) {
        Thread.sleep(REPORT_LAG.toMillis());
        published = report();
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
        memory.highestFence(),
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
    ordersToLose.set(faults.loseOrders());
    answersToCut.set(faults.cutAnswers());
    answersToSwap.set(faults.foreignAnswers());
    lateOrderMs = faults.lateOrderMs();
    if (faults.silence()) {
      silentConnections.addAll(openConnections);
    }
    if (faults.crash()) {
      crash();
    }
  }

  private static boolean takeOne(AtomicInteger counter) {
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
        Replies.json(response, callback, Map.of("set", true));
        return;
      }
      String connection = request.getConnectionMetaData().getId();
      openConnections.add(connection);
      if (silentConnections.contains(connection)) {
        Thread.sleep(SILENCE);
        abort(request, callback);
        return;
      }
      switch (path) {
        case "/engine/report" -> Replies.json(response, callback, published);
        case "/engine/orders" ->
            order(Json.read(body, EngineCommand.class), request, response, callback);
        case "/stand-in/state" ->
            Replies.json(
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

    private void order(EngineCommand order, Request request, Response response, Callback callback) {
      if (takeOne(ordersToLose)) {
        abort(request, callback);
        return;
      }
      if (lateOrderMs > 0) {
        executeLater(order, lateOrderMs);
        abort(request, callback);
        return;
      }
      boolean accepted = execute(order) == EngineMemory.Verdict.ACCEPTED;
      Replies.write(
          response,
          callback,
          accepted ? HttpStatus.ACCEPTED_202 : HttpStatus.CONFLICT_409,
          "application/json",
          Json.bytes(Map.of("accepted", accepted)));
    }

    private void executeLater(EngineCommand order, long delayMs) {
      Thread.ofVirtual()
          .start(
              () -> {
                try {
                  Thread.sleep(delayMs);
                  execute(order);
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
    }

    private EngineMemory.Verdict execute(EngineCommand order) {
      EngineMemory.Verdict verdict = memory.take(order);
      if (verdict == EngineMemory.Verdict.ACCEPTED && memory.isLoading(order.artifact())) {
        String incarnation = memory.incarnation();
        Thread.ofVirtual()
            .start(
                () -> {
                  weights.load(order.artifact());
                  memory.finishLoad(order, incarnation);
                });
      }
      return verdict;
    }

    private void complete(
        CompletionRequest completion, Request request, Response response, Callback callback)
        throws Exception {
      String artifact = request.getHeaders().get(EngineHeaders.ARTIFACT);
      if (artifact == null || !memory.isReady(artifact)) {
        Replies.write(
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
      int priority = (int) longHeader(request, EngineHeaders.PRIORITY, 0);
      int first = (int) longHeader(request, EngineHeaders.LAST_EVENT_ID, -1) + 1;
      int prefill = batcher.prefillSteps(completion.prefix(), completion.prompt());
      Generation generation = new Generation(priority, prefill, first, completion.maximumTokens());
      String attempt = request.getHeaders().get(EngineHeaders.ATTEMPT);
      String answered = takeOne(answersToSwap) ? "another-attempt" : attempt;
      response.getHeaders().put(EngineHeaders.ATTEMPT, answered == null ? "" : answered);
      batcher.add(generation);
      try {
        if (completion.stream()) {
          stream(completion, generation, first, request, response, callback);
        } else {
          whole(completion, generation, request, response, callback);
        }
      } finally {
        generation.cancel();
      }
    }

    private void whole(
        CompletionRequest completion,
        Generation generation,
        Request request,
        Response response,
        Callback callback)
        throws InterruptedException {
      StringBuilder text = new StringBuilder();
      for (int left = completion.maximumTokens(); left > 0; left--) {
        int index = generation.take();
        if (index == Generation.FAILED) {
          abort(request, callback);
          return;
        }
        text.append(StandInTokens.token(completion.prompt(), index));
      }
      byte[] body = EngineAnswers.whole(completion, text.toString());
      if (takeOne(answersToCut)) {
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        byte[] half = Arrays.copyOf(body, body.length / 2);
        response.write(
            false,
            ByteBuffer.wrap(half),
            Callback.from(() -> abort(request, callback), callback::failed));
        return;
      }
      Replies.write(response, callback, 200, "application/json", body);
    }

    private void stream(
        CompletionRequest completion,
        Generation generation,
        int first,
        Request request,
        Response response,
        Callback callback)
        throws Exception {
      response.setStatus(200);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
      boolean cut = takeOne(answersToCut);
      try (OutputStream output = Content.Sink.asOutputStream(response)) {
        for (int sent = first; sent < completion.maximumTokens(); sent++) {
          int index = generation.take();
          boolean stopHere = cut && sent * 2 >= completion.maximumTokens();
          if (index == Generation.FAILED || stopHere) {
            abort(request, callback);
            return;
          }
          output.write(EngineAnswers.event(completion, index));
          output.flush();
        }
        output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
      }
      callback.succeeded();
    }

    private static long longHeader(Request request, String name, long absent) {
      String value = request.getHeaders().get(name);
      return value == null ? absent : Long.parseLong(value);
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
