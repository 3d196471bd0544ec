package org.magnoliavale.internal.instance;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.Magnoliavale;
import org.magnoliavale.Service;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.document.TestDocuments;
import org.magnoliavale.internal.hash.Sha256;
import org.magnoliavale.internal.standin.EngineStandIn;
import org.magnoliavale.internal.standin.InstanceListStandIn;
import org.magnoliavale.internal.standin.PlatformLimits;
import org.magnoliavale.internal.standin.PlatformStandIn;
import org.magnoliavale.internal.standin.ServiceStandIn;

/** A deployment within the test process: stand-ins and instances on free loopback ports. */
final class Deployment implements AutoCloseable {
  static final String ADMINISTRATOR = "administrator-token";
  private static final long LIST_LAG_MS = 100;

  /**
   * First of the ports for tests: above those that the demo, training-run and bin/measure-start
   * use, and, with {@link #PORTS}, below those that systems give outgoing connections.
   */
  private static final int FIRST_PORT = 22_500;

  private static final int PORTS = 10_000;
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 97));

  private final int platformPort = freePort();
  private final List<Service> services = new ArrayList<>();
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final ServiceStandIn.RunCounters runs = new ServiceStandIn.RunCounters();
  private final List<ServiceStandIn> serviceStandIns = new ArrayList<>();
  private final List<Magnoliavale> instances = new ArrayList<>();
  private final List<Integer> callerPorts = new ArrayList<>();
  private final List<Integer> operatorPorts = new ArrayList<>();
  private final List<Integer> peerPorts = new ArrayList<>();
  private String document = TestDocuments.base();

  /**
   * Returns a port that is free now and that neither an outgoing connection nor another call is
   * given until it is bound.
   */
  static int freePort() {
    while (true) {
      int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // The port is in use; the next one may be free.
        continue;
      }
    }
  }

  Deployment withEngines(int count, int tokensPerSecond) {
    for (int i = 1; i <= count; i++) {
      document += TestDocuments.endpoint("engine-" + i, freePort(), 20, "checking");
      document += "tokens-per-second = " + tokensPerSecond + "\nslots = 64\n";
    }
    return this;
  }

  Deployment withServiceEndpoint() {
    document += TestDocuments.serviceEndpoint("service-1", freePort());
    return this;
  }

  Deployment withModel(String name, String extraSettings) {
    document += TestDocuments.model(name, 8) + extraSettings;
    return this;
  }

  String document() {
    return document;
  }

  Deployment start(int instanceCount) {
    for (int i = 0; i < instanceCount; i++) {
      callerPorts.add(freePort());
      operatorPorts.add(freePort());
      peerPorts.add(freePort());
    }
    Document parsed = DocumentReader.read("d.ini", document, 1);
    startService(platform());
    for (Endpoint endpoint : parsed.endpoints().values()) {
      if (parsed.pools().get(endpoint.pool()).enginePool()) {
        EngineStandIn engine = EngineStandIn.of(endpoint, artifact -> {});
        engines.add(engine);
        startService(engine);
      } else {
        ServiceStandIn serviceStandIn = ServiceStandIn.of(endpoint, runs);
        serviceStandIns.add(serviceStandIn);
        startService(serviceStandIn);
      }
    }
    for (int i = 0; i < instanceCount; i++) {
      Magnoliavale instance = Magnoliavale.builder().settings("instance-" + i, settings(i)).build();
      instance.start();
      instances.add(instance);
    }
    return this;
  }

  private PlatformStandIn platform() {
    List<InstanceListStandIn.ProbedInstance> probedInstances = new ArrayList<>();
    for (int i = 0; i < callerPorts.size(); i++) {
      probedInstances.add(
          new InstanceListStandIn.ProbedInstance(
              "instance-" + i, "127.0.0.1:" + callerPorts.get(i), "127.0.0.1:" + peerPorts.get(i)));
    }
    return new PlatformStandIn(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), platformPort),
        new PlatformLimits(2_000, 400, 9, 9),
        new InstanceListStandIn(probedInstances, LIST_LAG_MS));
  }

  private void startService(Service service) {
    service.start();
    services.add(service);
  }

  private String settings(int index) {
    return """
    [instance]
    id = instance-%d
    data-centre = here
    [caller]
    address = 127.0.0.1:%d
    drain-wait-ms = 100
    [operator]
    address = 127.0.0.1:%d
    administrator-token-sha256 = %s
    [peer]
    address = 127.0.0.1:%d
    shared-key = key of the test fleet
    heartbeat-ms = 200
    [platform]
    address = 127.0.0.1:%d
    document-poll-ms = 100
    [engine]
    report-interval-ms = 50
    [log]
    level = warn
    """
        .formatted(
            index,
            callerPorts.get(index),
            operatorPorts.get(index),
            Sha256.of(ADMINISTRATOR),
            peerPorts.get(index),
            platformPort);
  }

  String caller(int index) {
    return "127.0.0.1:" + callerPorts.get(index);
  }

  String operator(int index) {
    return "127.0.0.1:" + operatorPorts.get(index);
  }

  int callerPort(int index) {
    return callerPorts.get(index);
  }

  Magnoliavale instance(int index) {
    return instances.get(index);
  }

  EngineStandIn engine(int index) {
    return engines.get(index);
  }

  ServiceStandIn serviceStandIn(int index) {
    return serviceStandIns.get(index);
  }

  Map<String, Long> runs() {
    return runs.counts();
  }

  void markStopped(int index) {
    instances.set(index, null);
  }

  @Override
  public void close() {
    for (Magnoliavale instance : instances) {
      if (instance != null) {
        instance.stop();
      }
    }
    for (int i = services.size() - 1; i >= 0; i--) {
      services.get(i).stop();
    }
  }
}
