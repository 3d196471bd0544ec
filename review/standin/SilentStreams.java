package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.platform.standin.StoreStandIn;

/**
 * Not among the cases: sound workers pause within streams, and the instance ends the streams although
 * nothing has failed and much time is left. With the disruption the instance gets SIGTERM meanwhile.
 */
public final class SilentStreams {
  private static final int EVENTS = 60;
  private static final int PAUSE_AT_EVENT = 20;
  private static final long PAUSE_MS = 1_500;
  private static final long RESUMED_FIRST_EVENT_MS = 1_300;
  private static final int STREAMS = 4;

  private static final String CONFIGURATION =
      "{\"version\":7,\"routes\":[{\"name\":\"menu-notice\",\"host\":\"" + Deployment.HOST
          + "\",\"prefix\":\"/notices/\",\"service\":\"assistant-llm\",\"kind\":\"stream\","
          + "\"resumable\":true,\"attempts\":2,\"timeout-ms\":15000,\"target-latency-ms\":600,"
          + "\"target-gap-ms\":300,\"priority\":1}],"
          + "\"services\":[{\"name\":\"assistant-llm\",\"connection-limit\":370}],"
          + "\"limits\":{\"header-bytes\":32768,\"body-bytes\":4194304,"
          + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";

  /** A worker that pauses once in a stream, and takes a while to begin a resumed one. */
  private static final class PausingWorker extends Worker {
    PausingWorker(String id, StoreStandIn store, Recorder recorder) throws IOException {
      super(id, "assistant-llm", store, recorder);
    }

    @Override
    protected int slots() {
      return 64;
    }

    @Override
    protected void serve(Connection connection, Http.Message request) throws IOException {
      String attempt = request.header("X-Request-Attempt-Id");
      String last = request.header("Last-Event-Id");
      int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
      recorder.log("run      %s at %s from event %d", attempt, id, first);
      if (first > 1) {
        sleep(RESUMED_FIRST_EVENT_MS);
      }
      connection.write(head("200 OK", attempt) + "X-Response-Signature: " + id + "." + attempt
          + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = first; i <= EVENTS; i++) {
        String event = "id: " + i + "\ndata: token\n\n";
        connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        sleep(i == PAUSE_AT_EVENT ? PAUSE_MS : 40);
      }
      connection.write("0\r\n\r\n");
    }
  }

  private SilentStreams() {}

  /** Runs the case; returns 1 if the rule was broken, else 0. */
  static int run(Path folder, Recorder recorder, boolean trouble) throws Exception {
    AtomicInteger cut = new AtomicInteger();
    try (Deployment deployment = new Deployment(folder)) {
      deployment.configure(CONFIGURATION);
      List<Worker> workers = new ArrayList<>();
      for (int i = 1; i <= 6; i++) {
        Worker worker = new PausingWorker("e-" + i, deployment.store(), recorder);
        workers.add(worker);
        worker.start();
      }
      Deployment.Instance first = deployment.startInstance(1);
      deployment.startInstance(2);
      Thread.sleep(4_000);
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        clients.add(Thread.ofVirtual().start(() -> ask(first, recorder, cut)));
      }
      Thread.sleep(200);
      if (trouble) {
        first.signal("TERM");
        recorder.say("SIGTERM sent to %s", first.name());
      }
      for (Thread client : clients) {
        client.join();
      }
      workers.forEach(Worker::close);
    }
    recorder.say("streams=%d cut-off=%d, %s planned work", STREAMS, cut.get(),
        trouble ? "around" : "without");
    return trouble && cut.get() > 0 ? 1 : 0;
  }

  private static void ask(Deployment.Instance instance, Recorder recorder, AtomicInteger cut) {
    String id = Client.newId();
    recorder.log("sent     %s to %s", id, instance.name());
    try (Client client = new Client(instance.frontPort(), 20_000)) {
      client.send("POST", "/notices/2f", id, 15_000, Map.of(), "notice".getBytes());
      recorder.log("answered %s %s", id, client.receive().second());
    } catch (IOException e) {
      cut.incrementAndGet();
      recorder.say("CUT OFF  %s: %s", id, e.getMessage());
    }
  }
}
