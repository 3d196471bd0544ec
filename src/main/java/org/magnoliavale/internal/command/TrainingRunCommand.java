package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.gateway.GatewayInstance;
import org.magnoliavale.internal.gateway.GatewaySettingsReader;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.platform.PlatformAdapterFactory;
import org.magnoliavale.platform.standin.DeploymentSize;
import org.magnoliavale.platform.standin.DeploymentStandIn;

/**
 * Runs linked instances against stand-ins and sends two of them calls of each kind, so that a Java
 * virtual machine that records loaded classes sees those that an instance needs. There are enough
 * instances for some of them to relay heartbeats, and one of them is started by its command. Used
 * by {@code bin/build-platform}.
 */
@Parameters(commandDescription = "Serve sample calls with two instances, to record their classes")
final class TrainingRunCommand implements Command {
  /** More than a fleet without relays has, and one more by its command. */
  private static final int INSTANCES = 13;

  private static final int CALLED_INSTANCES = 2;
  private static final int ROUNDS = 12;
  private static final long ROUND_INTERVAL_MS = 250;
  private static final long READY_TIMEOUT_MS = 15_000;
  private static final long READY_CHECK_INTERVAL_MS = 100;
  private static final int CALL_TIMEOUT_MS = 5_000;

  private int attempts;

  @Override
  public int run() throws InterruptedException, IOException {
    DeploymentStandIn deployment = new DeploymentStandIn(0, DeploymentSize.SMALL);
    deployment.start();
    List<GatewayInstance> instances = new ArrayList<>();
    for (int number = 1; number <= INSTANCES; number++) {
      instances.add(createInstance(number, deployment.storePort()));
    }
    instances.forEach(GatewayInstance::start);
    runCommand(deployment.storePort());
    boolean served = true;
    for (GatewayInstance instance : instances) {
      served &= awaitReady(instance.callerPort());
    }
    for (int round = 0; round < ROUNDS; round++) {
      for (GatewayInstance instance : instances.subList(0, CALLED_INSTANCES)) {
        served &= sendCalls(instance.callerPort(), round);
      }
      TimeUnit.MILLISECONDS.sleep(ROUND_INTERVAL_MS);
    }
    instances.getLast().stop();
    instances.forEach(GatewayInstance::halt);
    deployment.stop();
    System.out.println("training run: " + (served ? "all calls served" : "some calls failed"));
    return served ? SUCCESS : FAILURE;
  }

  private static GatewayInstance createInstance(int number, int storePort) {
    // The text is parsed rather than built, since reading settings belongs to a start.
    var settings = GatewaySettingsReader.read("training", settings(number, storePort));
    Logs.install(settings.logLevel(), System.out);
    return GatewayInstance.create(settings, PlatformAdapterFactory::create);
  }

  /** Starts an instance as a process does; it runs until this process ends. */
  private static void runCommand(int storePort) throws IOException {
    Path file = Files.createTempFile("training", ".ini");
    Files.writeString(file, settings(INSTANCES + 1, storePort));
    GatewayCommand command = new GatewayCommand(file.toString());
    Thread.ofPlatform().daemon().name("command").start(() -> runContained(command));
  }

  private static void runContained(GatewayCommand command) {
    try {
      command.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String settings(int number, int storePort) {
    return """
        [instance]
        id = training-%d
        data-centre = %s
        [callers]
        address = 127.0.0.1:0
        readiness-address = 127.0.0.1:0
        grace-period-s = 1
        [peers]
        host = 127.0.0.1
        port = 0
        metrics-port = 0
        shared-key = training
        [store]
        address = 127.0.0.1:%d
        """
        .formatted(number, DeploymentStandIn.DATA_CENTRE, storePort);
  }

  private boolean awaitReady(int port) throws InterruptedException {
    long waitedMs = 0;
    while (waitedMs < READY_TIMEOUT_MS) {
      if (send(port, "GET", "/read/ready", "", "")) {
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(READY_CHECK_INTERVAL_MS);
      waitedMs += READY_CHECK_INTERVAL_MS;
    }
    return false;
  }

  /** Sends a call of each kind; a stream may be rejected until its model is loaded. */
  private boolean sendCalls(int port, int round) {
    String model = "X-Model: model-" + (1 + round % 3);
    String tokens = "\r\nX-Token-Counts: 600,20\r\nX-Prompt-Prefix: aa:400,bb" + round + ":200\r\n";
    boolean plainServed =
        send(port, "GET", "/read/menu", "", "") & send(port, "POST", "/write/order", "", "{}");
    boolean streamServed =
        send(port, "POST", "/draft/notice", model + tokens, "{}")
            | send(port, "POST", "/draft/notice", model + "/a1" + tokens, "{}");
    return plainServed && (streamServed || round < ROUNDS / 2);
  }

  /** Sends a call and reads its answer to the end; returns whether it succeeded. */
  private boolean send(int port, String method, String path, String headers, String body) {
    attempts++;
    String request =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + DeploymentStandIn.HOST
            + "\r\nX-Request-Attempt-Id: training-"
            + attempts
            + "\r\nX-Time-Remaining: "
            + CALL_TIMEOUT_MS
            + "\r\nConnection: close\r\nContent-Length: "
            + body.length()
            + "\r\n"
            + headers
            + "\r\n"
            + body;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(CALL_TIMEOUT_MS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] answer = socket.getInputStream().readAllBytes();
      return new String(answer, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }
}
