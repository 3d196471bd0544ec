package org.magnoliavale.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.magnoliavale.platform.standin.StoreStandIn;

/** A store and its workers in the process of the test, with a configuration that can change. */
final class SoakDeployment implements AutoCloseable {
  static final String HOST = "menus.example";
  private static final int WORKERS = 3;
  private static final long HEARTBEAT_MS = 1_000;

  private final StoreStandIn store =
      new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  private final List<SoakWorker> plain = new ArrayList<>();
  private final List<SoakWorker> engines = new ArrayList<>();
  private final Thread heartbeats;
  private StoreStandIn.Copy copy;
  private int version;

  SoakDeployment(PlayClock clock) throws IOException {
    store.start();
    for (int number = 1; number <= WORKERS; number++) {
      plain.add(new SoakWorker("plain-" + number, clock));
      engines.add(new SoakWorker("engine-" + number, clock));
    }
    changeConfiguration();
    heartbeats = Thread.ofVirtual().name("heartbeats").start(this::writeEntries);
  }

  int storePort() {
    return store.port();
  }

  List<SoakWorker> plain() {
    return plain;
  }

  List<SoakWorker> engines() {
    return engines;
  }

  List<Run> runs() {
    List<Run> result = new ArrayList<>();
    plain.forEach(worker -> result.addAll(worker.runs()));
    engines.forEach(worker -> result.addAll(worker.runs()));
    return result;
  }

  List<Refusal> refusals() {
    List<Refusal> result = new ArrayList<>();
    plain.forEach(worker -> result.addAll(worker.refusals()));
    engines.forEach(worker -> result.addAll(worker.refusals()));
    return result;
  }

  /** Writes the next version of the configuration: the same routes, and one that is added. */
  void changeConfiguration() {
    version++;
    StringBuilder routes = new StringBuilder();
    for (Kind kind : Kind.values()) {
      routes.append(route(kind.prefix(), kind)).append(',');
    }
    routes.append(route("/added-%d/".formatted(version), Kind.READ));
    String configuration =
        """
        {"version":%d,"routes":[%s],"services":[{"name":"plain","connection-limit":200},
        {"name":"engine","connection-limit":200,"engine":{"slots":%d,"kv-cache-tokens":1000000,
        "weights-mb":220,"adapter-slots":8,"loads-per-s":2,"models":[{"name":"%s","weights-mb":70,
        "load-s":1,"disk-s":0.5,"warm-s":0.2,"adapters":0,"adapter-mb":0.1}]}}],
        "limits":{"body-bytes":1048576}}"""
            .formatted(version, routes, SoakWorker.SLOTS, WorkerDescription.MODEL);
    store.write("op", "config", configuration.getBytes(StandardCharsets.UTF_8));
  }

  /** Takes a copy of the store. */
  void copyStore() {
    copy = store.copy();
  }

  /** Brings the store back from its copy; the operator and the workers write theirs again. */
  void restoreStore() {
    store.restore(copy);
    version--;
    changeConfiguration();
  }

  private static String route(String prefix, Kind kind) {
    return """
        {"name":"route%s","host":"%s","prefix":"%s","kind":"%s","resumable":%b,"service":"%s",
        "attempts":2,"timeout-ms":%d,"target-latency-ms":500}"""
        .formatted(
            prefix.replace('/', '-'),
            HOST,
            prefix,
            kind.routeKind(),
            kind.resumable(),
            kind.service(),
            kind.timeoutMs());
  }

  private void writeEntries() {
    for (long sequence = 1; !Thread.currentThread().isInterrupted(); sequence++) {
      for (int index = 0; index < WORKERS; index++) {
        writeEntry("plain", plain.get(index), sequence);
        writeEntry("engine", engines.get(index), sequence);
      }
      PlayClock.sleep(HEARTBEAT_MS);
    }
  }

  private void writeEntry(String service, SoakWorker worker, long sequence) {
    String entry = WorkerDescription.entry(service, worker.port(), sequence);
    store.write("servers", worker.name(), entry.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() throws IOException {
    heartbeats.interrupt();
    for (int index = 0; index < WORKERS; index++) {
      plain.get(index).close();
      engines.get(index).close();
    }
    store.stop();
  }
}
