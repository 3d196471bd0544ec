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
public final class InstanceListStandIn implements Service {
  /**
   * An instance that the stand-in probes.
   *
   * @param id identifier of the instance
   * @param callerAddress {@code host:port} for callers, which also serves the readiness probe
   * @param peerAddress {@code host:port} for other instances
   */
  public record ProbedInstance(String id, String callerAddress, String peerAddress) {}

  private static final int PROBE_TIMEOUT_MS = 500;

  private final List<ProbedInstance> instances;
  private final long visibilityDelayMs;
  private final Map<String, String> visibleStates = new ConcurrentHashMap<>();
  private volatile boolean running;

  /**
   * Creates a list in which a change becomes visible after {@code visibilityDelayMs} milliseconds.
   */
  public InstanceListStandIn(List<ProbedInstance> instances, long visibilityDelayMs) {
    this.instances = List.copyOf(instances);
    this.visibilityDelayMs = visibilityDelayMs;
  }

  @Override
  public void start() {
    running = true;
    Thread.ofVirtual().start(this::probeInstances);
  }

  @Override
  public void stop() {
    running = false;
  }

  List<ListedInstance> visible() {
    List<ListedInstance> list = new ArrayList<>();
    for (ProbedInstance instance : instances) {
      String state = visibleStates.get(instance.id());
      if (state != null) {
        list.add(new ListedInstance(instance.id(), instance.peerAddress(), state, ""));
      }
    }
    return list;
  }

  private void probeInstances() {
    while (running) {
      Map<String, String> probed = new ConcurrentHashMap<>();
      for (ProbedInstance instance : instances) {
        String state = probe(instance);
        if (state != null) {
          probed.put(instance.id(), state);
        }
      }
      try {
        Thread.sleep(visibilityDelayMs);
      } catch (InterruptedException e) {
        return;
      }
      visibleStates.keySet().retainAll(probed.keySet());
      visibleStates.putAll(probed);
    }
  }

  private static String probe(ProbedInstance instance) {
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
