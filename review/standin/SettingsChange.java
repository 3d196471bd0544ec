package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: the platform tells one instance with SIGHUP that its settings file has changed. */
public final class SettingsChange {
  private static final String CONFIGURATION =
      "{\"version\":7,\"routes\":[{\"name\":\"menu-notice\",\"host\":\"" + Deployment.HOST
          + "\",\"prefix\":\"/notices/\",\"service\":\"assistant-llm\",\"kind\":\"stream\","
          + "\"resumable\":true,\"sticky\":true,\"attempts\":2,\"timeout-ms\":15000,"
          + "\"target-latency-ms\":600,\"target-gap-ms\":300,\"priority\":1}],\"services\":["
          + "{\"name\":\"assistant-llm\",\"connection-limit\":370,\"engine\":{\"slots\":64,"
          + "\"kv-cache-tokens\":134749,\"weights-mb\":220000,\"adapter-slots\":8,"
          + "\"loads-per-s\":1.1,\"models\":[{\"name\":\"m1\",\"weights-mb\":72700,"
          + "\"load-s\":8.6,\"disk-s\":1.7,\"warm-s\":0.81,\"adapters\":0,\"adapter-mb\":66}]}}],"
          + "\"limits\":{\"header-bytes\":32768,\"body-bytes\":4194304,"
          + "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}";

  /** Events of an answer; the sheet's answers have up to 186, each of 3 tokens. */
  private static final int EVENTS = 186;

  private static final int STREAMS = 6;

  private SettingsChange() {}

  /** Runs the case; returns 1 if the rule was broken, else 0. */
  static int run(Path folder, Recorder recorder, boolean trouble) throws Exception {
    Map<String, EngineWorker.Kind> kinds = Map.of("m1", new EngineWorker.Kind(72_700, 8_600, 66));
    try (Deployment deployment = new Deployment(folder)) {
      deployment.configure(CONFIGURATION);
      List<EngineWorker> workers = new ArrayList<>();
      for (int i = 1; i <= 2; i++) {
        EngineWorker worker =
            new EngineWorker("e-" + i, "assistant-llm", kinds, 220_000, 8, 64, List.of("m1"),
                deployment.store(), recorder);
        workers.add(worker);
        worker.start();
      }
      Deployment.Instance first = deployment.startInstance(1);
      deployment.startInstance(2);
      Thread.sleep(4_000);
      AtomicInteger cut = new AtomicInteger();
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        clients.add(ask(first, recorder, cut));
      }
      Thread.sleep(2_000);
      if (trouble) {
        first.signal("HUP");
        recorder.say("SIGHUP sent to %s", first.name());
      }
      for (Thread client : clients) {
        client.join();
      }
      boolean ended = first.process().waitFor(3, TimeUnit.SECONDS);
      recorder.say("%s %s", first.name(), ended ? "ended by itself" : "still runs");
      recorder.say("answers=%d cut-off=%d", STREAMS, cut.get());
      workers.forEach(EngineWorker::close);
      return cut.get() > 0 ? 1 : 0;
    }
  }

  private static Thread ask(Deployment.Instance instance, Recorder recorder, AtomicInteger cut) {
    return Thread.ofVirtual()
        .start(
            () -> {
              String id = Client.newId();
              recorder.log("sent     %s to %s", id, instance.name());
              try (Client client = new Client(instance.frontPort(), 20_000)) {
                client.send("POST", "/notices/2f", id, 15_000,
                    Map.of("X-Model", "m1", "X-Token-Counts", "1460," + 3 * EVENTS,
                        "X-Prompt-Prefix", "5c1e07a2:350,91bd3f" + id.substring(14) + ":1110"),
                    "notice".getBytes());
                Http.Message answer = client.receive();
                int events = answer.text().split("\n\n").length;
                recorder.log("answered %s %s, %d events", id, answer.second(), events);
                if (!answer.second().equals("200") || events != EVENTS) {
                  cut.incrementAndGet();
                }
              } catch (IOException e) {
                cut.incrementAndGet();
                recorder.say("CUT OFF  %s: %s", id, e.getMessage());
              }
            });
  }
}
