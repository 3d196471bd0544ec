package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliavale.platform.standin.StoreStandIn;

/**
 * Case: the configuration gets a route for all paths of a host, and clients send orders whose path
 * begins with an empty segment.
 */
public final class PathChange {
  private static final String ROUTE =
      "{\"name\":\"%s\",\"host\":\"" + Deployment.HOST + "\",\"prefix\":\"%s\","
          + "\"service\":\"ordering\",\"kind\":\"unsafe\",\"attempts\":1,\"timeout-ms\":1200,"
          + "\"target-latency-ms\":193,\"priority\":2}";

  private static final List<String> PATHS =
      List.of("/orders/school-12", "//orders/school-12", "//school-12/orders?day=monday", "/a//b");

  private static String configuration(int version, boolean allPaths) {
    String routes = String.format(ROUTE, "order-place", "/orders/");
    if (allPaths) {
      routes += "," + String.format(ROUTE, "order-any", "/");
    }
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
        + "{\"name\":\"ordering\",\"connection-limit\":110}],\"limits\":{\"header-bytes\":32768,"
        + "\"body-bytes\":4194304,\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";
  }

  /** A worker that notes the target of each request that it runs. */
  private static final class NotingWorker extends PlainWorker {
    private final Map<String, String> targets;

    NotingWorker(String id, Map<String, String> targets, StoreStandIn store, Recorder recorder)
        throws IOException {
      super(id, "ordering", 6, 24, PlainWorker.newRuns(), store, recorder);
      this.targets = targets;
    }

    @Override
    protected String beforeAnswer(
        Connection connection, Http.Message request, String answer, boolean executed) {
      if (executed) {
        targets.put(request.header("X-Request-Attempt-Id"), request.second());
      }
      return answer;
    }
  }

  private PathChange() {}

  /** Runs the case; returns 1 if the rule was broken, else 0. */
  static int run(Path folder, Recorder recorder, boolean trouble) throws Exception {
    Map<String, String> targets = new ConcurrentHashMap<>();
    int changed = 0;
    try (Deployment deployment = new Deployment(folder)) {
      deployment.configure(configuration(7, false));
      List<Worker> workers = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        Worker worker = new NotingWorker("w-" + i, targets, deployment.store(), recorder);
        workers.add(worker);
        worker.start();
      }
      List<Deployment.Instance> instances =
          List.of(deployment.startInstance(1), deployment.startInstance(2));
      Thread.sleep(2_000);
      if (trouble) {
        deployment.configure(configuration(9, true));
        recorder.say("configuration 9 has a route with the prefix /");
      }
      // Beyond config-propagation-ms.
      Thread.sleep(3_000);
      for (int round = 0; round < 5; round++) {
        for (String path : PATHS) {
          String id = Client.newId();
          try (Client client = new Client(instances.get(round % 2).frontPort(), 5_000)) {
            recorder.log("sent     %s POST %s", id, path);
            client.send("POST", path, id, 2_500, Map.of(), ("order " + id).getBytes());
            recorder.log("answered %s %s", id, client.receive().second());
          } catch (IOException e) {
            recorder.log("answered %s closed: %s", id, e.getMessage());
          }
          String run = targets.get(id);
          if (run != null && !run.equals(path)) {
            changed++;
            recorder.say("UNASKED  %s was sent as POST %s and ran as POST %s", id, path, run);
          }
        }
      }
      workers.forEach(Worker::close);
    }
    recorder.say("run=%d with-another-path=%d", targets.size(), changed);
    return changed > 0 ? 1 : 0;
  }
}
