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
    writeConfiguration(new ConfigurationText(version).text());
  }

  /** Writes a configuration, of whatever version. */
  void writeConfiguration(String configuration) {
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
    String entry = WorkerDescription.entry(service, worker, sequence);
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
