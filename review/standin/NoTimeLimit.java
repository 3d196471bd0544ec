package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.platform.standin.StoreStandIn;

/**
 * Case: some clients say that they wait without a limit; later the workers leave part of their requests
 * unanswered.
 */
public final class NoTimeLimit {
  private static final int PATIENT_REQUESTS = 10;
  private static final int ORDERS = 80;
  private static final long ORDER_PAUSE_MS = 50;
  private static final long TIMEOUT_MS = 1_200;

  /** Time after the route's timeout by which a request has to be answered. */
  private static final long GRACE_MS = 500;

  private static final double HANGING_SHARE = 0.45;

  private static String route(String name, String prefix, String kind, int attempts) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + Deployment.HOST + "\",\"prefix\":\"" + prefix
        + "\",\"service\":\"ordering\",\"kind\":\"" + kind + "\",\"attempts\":" + attempts
        + ",\"timeout-ms\":" + TIMEOUT_MS + ",\"target-latency-ms\":193,\"priority\":2}";
  }

  private static final String CONFIGURATION =
      "{\"version\":7,\"routes\":[" + route("order-place", "/orders/", "unsafe", 1) + ","
          + route("route-read", "/sheets/", "safe", 2) + "],"
          + "\"services\":[{\"name\":\"ordering\",\"connection-limit\":110}],"
          + "\"limits\":{\"header-bytes\":32768,\"body-bytes\":4194304,"
          + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";

  /** A worker that does not answer part of its requests while it is faulty. */
  private static final class HangingWorker extends PlainWorker {
    private volatile boolean faulty;
    private int requests;
    private int hanging;

    HangingWorker(String id, StoreStandIn store, Recorder recorder) throws IOException {
      super(id, "ordering", 6, 24, PlainWorker.newRuns(), store, recorder);
    }

    @Override
    protected void serve(Connection connection, Http.Message request) throws IOException {
      if (faulty && isNextHanging()) {
        recorder.log("hangs    %s at %s", request.header("X-Request-Attempt-Id"), id);
        connection.input.read();
        throw new IOException("closed by the instance");
      }
      super.serve(connection, request);
    }

    private synchronized boolean isNextHanging() {
      requests++;
      boolean next = hanging + 1 <= HANGING_SHARE * requests;
      hanging += next ? 1 : 0;
      return next;
    }
  }

  private NoTimeLimit() {}

  /** Runs the case; returns 1 if the rule was broken, else 0. */
  static int run(Path folder, Recorder recorder, boolean trouble) throws Exception {
    AtomicInteger unanswered = new AtomicInteger();
    AtomicInteger late = new AtomicInteger();
    try (Deployment deployment = new Deployment(folder)) {
      deployment.configure(CONFIGURATION);
      List<HangingWorker> workers = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        HangingWorker worker = new HangingWorker("w-" + i, deployment.store(), recorder);
        workers.add(worker);
        worker.start();
      }
      List<Deployment.Instance> instances =
          List.of(deployment.startInstance(1), deployment.startInstance(2));
      Thread.sleep(2_000);
      for (int i = 0; i < PATIENT_REQUESTS * instances.size(); i++) {
        String id = Client.newId();
        try (Client client = new Client(instances.get(i % 2).frontPort(), 3_000)) {
          recorder.log("sent     %s, X-Time-Remaining %d", id, Long.MAX_VALUE);
          client.send("GET", "/sheets/7", id, Long.MAX_VALUE, Map.of(), new byte[0]);
          recorder.log("answered %s %s", id, client.receive().second());
        } catch (IOException e) {
          recorder.log("answered %s closed: %s", id, e);
        }
      }
      Thread.sleep(1_000);
      workers.forEach(worker -> worker.faulty = trouble);
      List<Thread> orders = new ArrayList<>();
      for (int i = 0; i < ORDERS; i++) {
        Deployment.Instance instance = instances.get(i % 2);
        orders.add(
            Thread.ofVirtual().start(() -> order(instance, recorder, unanswered, late)));
        Thread.sleep(ORDER_PAUSE_MS);
      }
      workers.forEach(worker -> worker.faulty = false);
      for (Thread order : orders) {
        order.join();
      }
      for (Deployment.Instance instance : instances) {
        recorder.say("%s failed periodic tasks in its log: %d", instance.name(),
            deployment.logLines(instance, "Periodic task failed").size());
      }
      workers.forEach(Worker::close);
    }
    recorder.say("orders=%d unanswered-at-timeout=%d without-answer-half-a-second-later=%d",
        ORDERS, unanswered.get(), late.get());
    return late.get() * 2 > unanswered.get() ? 1 : 0;
  }

  private static void order(
      Deployment.Instance instance, Recorder recorder, AtomicInteger unanswered, AtomicInteger late) {
    String id = Client.newId();
    long start = recorder.nowMs();
    try (Client client = new Client(instance.frontPort(), 6_000)) {
      recorder.log("sent     %s to %s", id, instance.name());
      client.send("POST", "/orders/31", id, 6_000, Map.of(), ("order " + id).getBytes());
      recorder.log("answered %s %s", id, client.receive().second());
    } catch (IOException e) {
      recorder.log("answered %s not: %s", id, e);
    }
    long took = recorder.nowMs() - start;
    unanswered.addAndGet(took > TIMEOUT_MS ? 1 : 0);
    late.addAndGet(took > TIMEOUT_MS + GRACE_MS ? 1 : 0);
  }
}
