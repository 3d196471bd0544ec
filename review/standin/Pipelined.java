package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliavale.platform.standin.StoreStandIn;

/**
 * Case: clients send several requests on a connection at once, and read the answers in turn, as
 * HTTP/1.1 allows.
 */
public final class Pipelined {
  private static final int REQUESTS = 8;
  private static final int BODY_BYTES = 2_900;
  private static final int ROUNDS = 6;

  private static final String CONFIGURATION =
      "{\"version\":7,\"routes\":[{\"name\":\"route-sheet\",\"host\":\"" + Deployment.HOST
          + "\",\"prefix\":\"/sheets/\",\"service\":\"ordering\",\"kind\":\"safe\","
          + "\"attempts\":2,\"timeout-ms\":1200,\"target-latency-ms\":193,\"priority\":2}],"
          + "\"services\":[{\"name\":\"ordering\",\"connection-limit\":110}],"
          + "\"limits\":{\"header-bytes\":32768,\"body-bytes\":4194304,"
          + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";

  /** A worker that notes the body of each request that it runs. */
  private static final class NotingWorker extends PlainWorker {
    private final Map<String, List<String>> bodies;

    NotingWorker(
        String id, Map<String, List<String>> bodies, StoreStandIn store, Recorder recorder)
        throws IOException {
      super(id, "ordering", 6, 24, PlainWorker.newRuns(), store, recorder);
      this.bodies = bodies;
    }

    @Override
    protected String beforeAnswer(
        Connection connection, Http.Message request, String answer, boolean executed) {
      if (executed) {
        bodies
            .computeIfAbsent(request.header("X-Request-Attempt-Id"), id -> new ArrayList<>())
            .add(request.text());
      }
      return answer;
    }
  }

  private Pipelined() {}

  /** Runs the case; returns 1 if the rule was broken, else 0. */
  static int run(Path folder, Recorder recorder, boolean trouble) throws Exception {
    Map<String, List<String>> bodies = new ConcurrentHashMap<>();
    Map<String, String> sent = new ConcurrentHashMap<>();
    int unanswered = 0;
    try (Deployment deployment = new Deployment(folder)) {
      deployment.configure(CONFIGURATION);
      List<Worker> workers = new ArrayList<>();
      for (int i = 1; i <= 3; i++) {
        Worker worker = new NotingWorker("w-" + i, bodies, deployment.store(), recorder);
        workers.add(worker);
        worker.start();
      }
      List<Deployment.Instance> instances =
          List.of(deployment.startInstance(1), deployment.startInstance(2));
      Thread.sleep(2_000);
      for (int round = 0; round < ROUNDS; round++) {
        unanswered += exchange(instances.get(round % 2), trouble, sent, recorder);
      }
      workers.forEach(Worker::close);
    }
    int changed = 0;
    for (Map.Entry<String, List<String>> run : bodies.entrySet()) {
      for (String body : run.getValue()) {
        if (!body.equals(sent.get(run.getKey()))) {
          changed++;
          recorder.say("UNASKED  %s ran with a body that its client did not send", run.getKey());
          recorder.log("body     %s", body.replace("\r\n", "<CR LF>").replace('\n', ' '));
        }
      }
    }
    recorder.say("sent=%d run=%d with-another-body=%d unanswered=%d", sent.size(), bodies.size(),
        changed, unanswered);
    return changed > 0 ? 1 : 0;
  }

  private static int exchange(
      Deployment.Instance instance, boolean atOnce, Map<String, String> sent, Recorder recorder)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", instance.frontPort()), 1_000);
      socket.setSoTimeout(3_000);
      socket.setTcpNoDelay(true);
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      List<String> ids = new ArrayList<>();
      int answered = 0;
      try {
        for (int i = 0; i < REQUESTS; i++) {
          String id = Client.newId();
          String body = ("sheet " + id + " ").repeat(BODY_BYTES / 23);
          sent.put(id, body);
          ids.add(id);
          String request =
              "PUT /sheets/" + i + " HTTP/1.1\r\nHost: " + Deployment.HOST
                  + "\r\nX-Request-Attempt-Id: " + id + "\r\nX-Time-Remaining: 2500\r\n"
                  + "Content-Length: " + body.length() + "\r\n\r\n" + body;
          all.writeBytes(request.getBytes(StandardCharsets.US_ASCII));
          recorder.log("sent     %s to %s, %d bytes", id, instance.name(), body.length());
          if (!atOnce) {
            socket.getOutputStream().write(all.toByteArray());
            all.reset();
            answered += read(input, id, recorder);
          }
        }
        if (atOnce) {
          socket.getOutputStream().write(all.toByteArray());
          for (String id : ids) {
            answered += read(input, id, recorder);
          }
        }
      } catch (IOException e) {
        recorder.log("ended    after %d answers: %s", answered, e);
      }
      return REQUESTS - answered;
    }
  }

  private static int read(BufferedInputStream input, String id, Recorder recorder)
      throws IOException {
    Http.Message answer = Http.readResponse(input);
    recorder.log("answered %s %s, id %s", id, answer.second(),
        answer.header("X-Request-Attempt-Id"));
    return 1;
  }
}
