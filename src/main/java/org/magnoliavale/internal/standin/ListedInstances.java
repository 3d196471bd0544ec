package org.magnoliavale.internal.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpStatus;
import org.magnoliavale.Service;
import org.magnoliavale.internal.platform.ListedInstance;

/**
 * The list of instances of the platform stand-in. One virtual thread probes the readiness of each
 * configured instance; the results become visible after a delay, as on a real platform.
 */
public final class ListedInstances implements Service {
  /**
   * An instance that the stand-in probes.
   *
   * @param id identifier of the instance
   * @param callerAddress {@code host:port} for callers, which also serves the readiness probe
   * @param peerAddress {@code host:port} for other instances
   */
  public record Watched(String id, String callerAddress, String peerAddress) {}

  private static final int PROBE_TIMEOUT_MS = 500;

  private final List<Watched> watched;
  private final long lagMs;
  private final Map<String, String> visibleStates = new ConcurrentHashMap<>();
  private volatile boolean running;

  /** Creates a list in which a change becomes visible after {@code lagMs} milliseconds. */
  public ListedInstances(List<Watched> watched, long lagMs) {
    this.watched = List.copyOf(watched);
    this.lagMs = lagMs;
  }

  @Override
  public void start() {
    running = true;
    Thread.ofVirtual().start(this::probeLoop);
  }

  @Override
  public void stop() {
    running = false;
  }

  List<ListedInstance> visible() {
    List<ListedInstance> list = new ArrayList<>();
    for (Watched instance : watched) {
      String state = visibleStates.get(instance.id());
      if (state != null) {
        list.add(new ListedInstance(instance.id(), instance.peerAddress(), state));
      }
    }
    return list;
  }

  private void probeLoop() {
    while (running) {
      Map<String, String> probed = new ConcurrentHashMap<>();
      for (Watched instance : watched) {
        String state = probe(instance);
        if (state != null) {
          probed.put(instance.id(), state);
        }
      }
      try {
        Thread.sleep(lagMs);
      } catch (InterruptedException e) {
        return;
      }
      visibleStates.keySet().retainAll(probed.keySet());
      visibleStates.putAll(probed);
    }
  }

  private static String probe(Watched instance) {
    try {
      URI uri = URI.create("http://" + instance.callerAddress() + "/health/ready");
      HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
      connection.setConnectTimeout(PROBE_TIMEOUT_MS);
      connection.setReadTimeout(PROBE_TIMEOUT_MS);
      boolean ready = connection.getResponseCode() == HttpStatus.OK_200;
      try (InputStream body = ready ? connection.getInputStream() : connection.getErrorStream()) {
        if (body != null) {
          body.readAllBytes();
        }
      }
      return ready ? "live" : "leaving";
    } catch (IOException e) {
      return null;
    }
  }
}
