package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.client.HttpClient;
import org.magnoliavale.Service;
import org.magnoliavale.internal.document.Document;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.Endpoint;
import org.magnoliavale.internal.http.HttpClients;
import org.magnoliavale.internal.http.JsonClient;
import org.magnoliavale.internal.identifier.PoolId;
import org.magnoliavale.internal.ini.Values;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.internal.standin.EngineStandIn;
import org.magnoliavale.internal.standin.InstanceListStandIn;
import org.magnoliavale.internal.standin.PlatformLimits;
import org.magnoliavale.internal.standin.PlatformStandIn;
import org.magnoliavale.internal.standin.ServiceStandIn;
import org.magnoliavale.platform.standin.DeploymentSize;
import org.magnoliavale.platform.standin.DeploymentStandIn;

/**
 * Runs stand-ins for external systems: the platform or the endpoints of a document, or the users'
 * platform that {@code gateway} runs on.
 */
@Parameters(commandDescription = "Run stand-ins for demos: platform, endpoints, gateway-platform")
final class StandInCommand implements Command {
  private static final Duration WEIGHT_LOAD_TIMEOUT = Duration.ofMinutes(2);
  private static final int MAXIMUM_WEIGHT_CONNECTIONS = 256;
  private static final long ADAPTER_LOAD_MS = 10;
  private static final long INSTANCE_LIST_LAG_MS = 1_000;

  @Parameter(description = "platform|endpoints|gateway-platform", required = true)
  private List<String> kind;

  @Parameter(names = "--address", description = "Listen address of the platform stand-in")
  private String address = "127.0.0.1:7000";

  @Parameter(
      names = "--instance",
      description = "ID=CALLER-ADDRESS=PEER-ADDRESS of an instance for the instance list")
  private List<String> instances = new ArrayList<>();

  @Parameter(names = "--reads-per-second", description = "Table reads per second")
  private double readsPerSecond = 2_000;

  @Parameter(names = "--writes-per-second", description = "Table writes per second")
  private double writesPerSecond = 400;

  @Parameter(names = "--loads-per-second", description = "Weight loads per second")
  private double loadsPerSecond = 1;

  @Parameter(names = "--loads-at-once", description = "Concurrent weight loads at full speed")
  private int maximumConcurrentLoads = 9;

  @Parameter(names = "--document", description = "Document whose endpoints are simulated")
  private String documentFile;

  @Parameter(
      names = "--platform",
      description = "Address of the platform, which serves the weights")
  private String platform = "127.0.0.1:7000";

  @Parameter(names = "--plain-workers", description = "Workers of the plain service")
  private int plainWorkers = DeploymentSize.SMALL.plainWorkers();

  @Parameter(names = "--engine-workers", description = "Workers of the engine service")
  private int engineWorkers = DeploymentSize.SMALL.engineWorkers();

  @Parameter(names = "--models", description = "Models of the engine service")
  private int models = DeploymentSize.SMALL.models();

  @Parameter(names = "--other-routes", description = "Routes that no call is sent to")
  private int otherRoutes = DeploymentSize.SMALL.otherRoutes();

  @Override
  public int run() throws InterruptedException {
    Logs.install("info");
    List<Service> services =
        switch (kind.getFirst()) {
          case "platform" -> List.of(platformStandIn());
          case "endpoints" -> endpointStandIns();
          case "gateway-platform" ->
              List.of(
                  new DeploymentStandIn(
                      Values.address(address).getPort(),
                      new DeploymentSize(plainWorkers, engineWorkers, models, otherRoutes)));
          default -> List.of();
        };
    if (services.isEmpty()) {
      System.err.println("magnoliavale: unknown stand-in: " + kind.getFirst());
      return USAGE;
    }
    services.forEach(Service::start);
    new CountDownLatch(1).await();
    return SUCCESS;
  }

  private Service platformStandIn() {
    List<InstanceListStandIn.ProbedInstance> probedInstances = new ArrayList<>();
    for (String instance : instances) {
      String[] parts = instance.split("=");
      probedInstances.add(new InstanceListStandIn.ProbedInstance(parts[0], parts[1], parts[2]));
    }
    return new PlatformStandIn(
        Values.address(address),
        new PlatformLimits(readsPerSecond, writesPerSecond, loadsPerSecond, maximumConcurrentLoads),
        new InstanceListStandIn(probedInstances, INSTANCE_LIST_LAG_MS));
  }

  private List<Service> endpointStandIns() {
    Document document = DocumentReader.read(documentFile, InputFiles.read(documentFile), 1);
    EngineStandIn.WeightLoader weights = weightLoader(Values.address(platform));
    Map<PoolId, ServiceStandIn.RunCounters> runs = new HashMap<>();
    List<Service> services = new ArrayList<>();
    for (Endpoint endpoint : document.endpoints().values()) {
      boolean engine = document.pools().get(endpoint.pool()).enginePool();
      services.add(
          engine
              ? EngineStandIn.of(endpoint, weights)
              : ServiceStandIn.of(
                  endpoint,
                  runs.computeIfAbsent(
                      endpoint.pool(), ignored -> new ServiceStandIn.RunCounters())));
    }
    return services;
  }

  private static EngineStandIn.WeightLoader weightLoader(InetSocketAddress platform) {
    HttpClient http =
        HttpClients.create(
            "weights", MAXIMUM_WEIGHT_CONNECTIONS, WEIGHT_LOAD_TIMEOUT, WEIGHT_LOAD_TIMEOUT);
    HttpClients.start(http);
    JsonClient client = JsonClient.of(http);
    return artifact -> {
      if (artifact.contains(":")) {
        sleep(ADAPTER_LOAD_MS);
      } else {
        client.get(platform, "/weights", WEIGHT_LOAD_TIMEOUT);
      }
    };
  }

  private static void sleep(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
