package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.platform.standin.StoreStandIn;

/**
 * Case: one worker sends a second copy of some of its answers late, where the next answer on the
 * connection is due. An order that comes back to that worker on that connection has the same id.
 */
public final class LateAnswer {
  private static final int WORKERS = 2;
  private static final int SLOTS = 6;
  private static final int QUEUE = 4;
  private static final double GARBLED_SHARE = 0.03;
  private static final long GARBLED_MS = 5_000;
  private static final long GARBLED_PAUSE_MS = 2_000;

  /** A second answer that no request awaits by then is not sent. */
  private static final long LATE_AT_MOST_MS = 300;

  private static final int CLUMPS = 75;
  private static final int CLUMP_SIZE = 36;
  private static final long CLUMP_PAUSE_MS = 400;
  private static final String BUSY_PATH = "/orders/2f";
  private static final String CALM_PATH = "/orders/31";

  private static final String CONFIGURATION =
      "{\"version\":7,\"routes\":[{\"name\":\"order-place\",\"host\":\"" + Deployment.HOST
          + "\",\"prefix\":\"/orders/\",\"service\":\"ordering\",\"kind\":\"unsafe\","
          + "\"attempts\":1,\"timeout-ms\":1200,\"target-latency-ms\":193,\"priority\":2}],"
          + "\"services\":[{\"name\":\"ordering\",\"connection-limit\":110}],"
          + "\"limits\":{\"header-bytes\":32768,\"body-bytes\":4194304,"
          + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";

  /** A worker that repeats answers late while it is faulty, at most a share of its answers. */
  private static final class FaultyWorker extends PlainWorker {
    private final boolean faulty;
    private long windowStartMs = -1;
    private int answers;
    private int repeated;

    FaultyWorker(
        String id,
        boolean faulty,
        Map<String, AtomicInteger> runs,
        StoreStandIn store,
        Recorder recorder)
        throws IOException {
      super(id, "ordering", SLOTS, QUEUE, runs, store, recorder);
      this.faulty = faulty;
    }

    synchronized void beginFault() {
      answers = 0;
      repeated = 0;
      windowStartMs = recorder.nowMs();
    }

    @Override
    protected synchronized String beforeAnswer(
        Connection connection, Http.Message request, String answer, boolean executed) {
      if (faulty && windowStartMs >= 0 && recorder.nowMs() - windowStartMs < GARBLED_MS) {
        answers++;
        boolean chosen = !executed && request.second().equals(CALM_PATH);
        if (chosen && repeated + 1 <= GARBLED_SHARE * answers) {
          repeated++;
          connection.lateMs = recorder.nowMs();
          connection.late = answer.getBytes(StandardCharsets.UTF_8);
          recorder.log("repeat   %s: the 503 of %s comes again at the point of the next answer",
              request.header("X-Request-Attempt-Id"), id);
        }
      }
      return answer;
    }

    @Override
    protected void serve(Connection connection, Http.Message request) throws IOException {
      if (connection.late != null && recorder.nowMs() - connection.lateMs > LATE_AT_MOST_MS) {
        connection.late = null;
      }
      if (connection.late != null) {
        byte[] late = connection.late;
        connection.late = null;
        connection.write(new String(late, StandardCharsets.UTF_8));
        recorder.log("late     an old answer precedes that of %s at %s",
            request.header("X-Request-Attempt-Id"), id);
      }
      super.serve(connection, request);
    }
  }

  private LateAnswer() {}

  /** Runs the case; returns 1 if the rule was broken, else 0. */
  static int run(Path folder, Recorder recorder, boolean trouble) throws Exception {
    Map<String, AtomicInteger> runs = PlainWorker.newRuns();
    Map<String, String> answers = new ConcurrentHashMap<>();
    try (Deployment deployment = new Deployment(folder)) {
      deployment.configure(CONFIGURATION);
      List<FaultyWorker> workers = new ArrayList<>();
      for (int i = 1; i <= WORKERS; i++) {
        FaultyWorker worker =
            new FaultyWorker("w-" + i, trouble && i == 1, runs, deployment.store(), recorder);
        workers.add(worker);
        worker.start();
      }
      Deployment.Instance calm = deployment.startInstance(1);
      Deployment.Instance busy = deployment.startInstance(2);
      Thread.sleep(1_000);
      Thread faults = Thread.ofVirtual().start(() -> repeatFault(workers));
      List<Thread> orders = new ArrayList<>();
      for (int clump = 0; clump < CLUMPS; clump++) {
        for (int i = 0; i < CLUMP_SIZE; i++) {
          orders.add(order(busy, BUSY_PATH, 0, recorder, answers));
        }
        if (clump % 2 == 0) {
          orders.add(order(calm, CALM_PATH, 14, recorder, answers));
        }
        Thread.sleep(CLUMP_PAUSE_MS);
      }
      for (Thread order : orders) {
        order.join();
      }
      faults.interrupt();
      Thread.sleep(2_000);
      workers.forEach(PlainWorker::close);
      return judge(recorder, runs, answers);
    }
  }

  private static void repeatFault(List<FaultyWorker> workers) {
    while (!Thread.currentThread().isInterrupted()) {
      workers.forEach(FaultyWorker::beginFault);
      Worker.sleep(GARBLED_MS + GARBLED_PAUSE_MS);
    }
  }

  /** Sends one order and reads the answer. */
  private static Thread order(
      Deployment.Instance instance,
      String path,
      long delayMs,
      Recorder recorder,
      Map<String, String> answers) {
    return Thread.ofVirtual()
        .start(
            () -> {
              Worker.sleep(delayMs);
              String id = Client.newId();
              try (Client client = new Client(instance.frontPort(), 5_000)) {
                recorder.log("sent     %s to %s", id, instance.name());
                client.send("POST", path, id, 2_500, Map.of(), ("order " + id).getBytes());
                Http.Message answer = client.receive();
                answers.put(id, answer.second());
                recorder.log("answered %s %s", id, answer.second());
              } catch (IOException e) {
                answers.put(id, "closed");
                recorder.log("answered %s closed: %s", id, e.getMessage());
              }
            });
  }

  private static int judge(
      Recorder recorder, Map<String, AtomicInteger> runs, Map<String, String> answers) {
    int refusedAndRun = 0;
    int twice = 0;
    for (Map.Entry<String, String> answer : answers.entrySet()) {
      int count = runs.getOrDefault(answer.getKey(), new AtomicInteger()).get();
      if (count > 1) {
        twice++;
        recorder.say("TWICE    %s ran %d times", answer.getKey(), count);
      }
      if (List.of("408", "421", "429", "503").contains(answer.getValue()) && count > 0) {
        refusedAndRun++;
        recorder.say("REFUSED  %s was answered %s and has run", answer.getKey(), answer.getValue());
      }
    }
    Map<String, Integer> byStatus = new java.util.TreeMap<>();
    answers.values().forEach(status -> byStatus.merge(status, 1, Integer::sum));
    recorder.say("orders=%d answers=%s refused-and-run=%d twice=%d",
        answers.size(), byStatus, refusedAndRun, twice);
    return twice > 0 ? 1 : 0;
  }
}
