package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.platform.standin.StoreStandIn;

/**
 * Case: an instance gets SIGTERM, reads an order on a kept connection later than 3 s after it, sends
 * it to a worker, and ends before the answer.
 */
public final class StopLate {
  private static final long TIMEOUT_MS = 4_000;
  private static final long WORK_MS = 2_600;

  /** When each order is sent, after SIGTERM. */
  private static final long[] SENT_AFTER_MS = {0, 2_000, 4_000, 5_200, 5_200, 5_200};

  private static final Map<String, AtomicInteger> RUNS = PlainWorker.newRuns();

  private static final String CONFIGURATION =
      "{\"version\":7,\"routes\":[{\"name\":\"order-place\",\"host\":\"" + Deployment.HOST
          + "\",\"prefix\":\"/orders/\",\"service\":\"ordering\",\"kind\":\"unsafe\","
          + "\"attempts\":1,\"timeout-ms\":" + TIMEOUT_MS
          + ",\"target-latency-ms\":386,\"priority\":2}],"
          + "\"services\":[{\"name\":\"ordering\",\"connection-limit\":110}],"
          + "\"limits\":{\"header-bytes\":32768,\"body-bytes\":4194304,"
          + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";

  /** A worker on which the orders of one path take longer. */
  private static final class SlowerWorker extends PlainWorker {
    SlowerWorker(
        String id, Map<String, AtomicInteger> runs, StoreStandIn store, Recorder recorder)
        throws IOException {
      super(id, "ordering", 6, 24, runs, store, recorder);
    }

    @Override
    protected long workMs(Http.Message request) {
      return request.second().equals("/orders/long") ? WORK_MS : super.workMs(request);
    }
  }

  private StopLate() {}

  /** Runs the case; returns 1 if the rule was broken, else 0. */
  static int run(Path folder, Recorder recorder, boolean trouble) throws Exception {
    AtomicInteger cut = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    try (Deployment deployment = new Deployment(folder)) {
      deployment.configure(CONFIGURATION);
      List<Worker> workers = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        Worker worker = new SlowerWorker("w-" + i, RUNS, deployment.store(), recorder);
        workers.add(worker);
        worker.start();
      }
      Deployment.Instance first = deployment.startInstance(1);
      deployment.startInstance(2);
      // Each client keeps the connection of its first order.
      List<Client> clients = new ArrayList<>();
      for (int i = 0; i < SENT_AFTER_MS.length; i++) {
        Client client = new Client(first.frontPort(), 8_000);
        clients.add(client);
        client.send("POST", "/orders/2f", Client.newId(), 4_000, Map.of(), "order".getBytes());
        recorder.log("answered a first order %s", client.receive().second());
      }
      Thread.sleep(5_000);
      long stopMs = recorder.nowMs();
      if (trouble) {
        first.signal("TERM");
        recorder.say("SIGTERM sent to %s", first.name());
      }
      List<Thread> orders = new ArrayList<>();
      for (int i = 0; i < SENT_AFTER_MS.length; i++) {
        Client client = clients.get(i);
        long atMs = stopMs + SENT_AFTER_MS[i];
        orders.add(
            Thread.ofVirtual().start(() -> order(client, atMs, recorder, cut, refused)));
      }
      for (Thread order : orders) {
        order.join();
      }
      workers.forEach(Worker::close);
      recorder.say("orders=%d passed-on-and-cut-off=%d refused=%d", orders.size(), cut.get(),
          refused.get());
    }
    return cut.get() > 0 ? 1 : 0;
  }

  private static void order(
      Client client, long atMs, Recorder recorder, AtomicInteger cut, AtomicInteger refused) {
    Worker.sleep(atMs - recorder.nowMs());
    String id = Client.newId();
    recorder.log("sent     %s", id);
    try (client) {
      client.send("POST", "/orders/long", id, 4_000, Map.of(), "order".getBytes());
      String status = client.receive().second();
      recorder.log("answered %s %s", id, status);
      refused.addAndGet(status.equals("200") ? 0 : 1);
    } catch (IOException e) {
      if (RUNS.containsKey(id)) {
        cut.incrementAndGet();
        recorder.say("CUT OFF  %s, which a worker runs: %s", id, e.getMessage());
      } else {
        recorder.log("closed   %s, which no worker has run: %s", id, e.getMessage());
      }
    }
  }
}
