package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.magnoliavale.internal.gateway.GatewayInstance;
import org.magnoliavale.internal.gateway.GatewaySettingsReader;
import org.magnoliavale.internal.logging.Logs;
import org.magnoliavale.platform.PlatformAdapterFactory;
import org.magnoliavale.platform.standin.DeploymentStandIn;

/**
 * Runs two linked instances against stand-ins and sends them calls of each kind, so that a Java
 * virtual machine that records loaded classes sees those that an instance needs. Used by {@code
 * bin/build-platform}.
 */
@Parameters(commandDescription = "Serve sample calls with two instances, to record their classes")
final class TrainingRunCommand implements Command {
  private static final int ROUNDS = 12;
  private static final long ROUND_INTERVAL_MS = 250;
  private static final long READY_TIMEOUT_MS = 15_000;
  private static final long READY_CHECK_INTERVAL_MS = 100;
  private static final int CALL_TIMEOUT_MS = 5_000;

  private int attempts;

  @Override
  public int run() throws InterruptedException {
    DeploymentStandIn deployment = new DeploymentStandIn(0);
    deployment.start();
    List<GatewayInstance> instances =
        List.of(
            createInstance(1, deployment.storePort()), createInstance(2, deployment.storePort()));
    instances.forEach(GatewayInstance::start);
    boolean served = true;
    for (GatewayInstance instance : instances) {
      served &= awaitReady(instance.callerPort());
    }
    for (int round = 0; round < ROUNDS; round++) {
      for (GatewayInstance instance : instances) {
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

  private GatewayInstance createInstance(int number, int storePort) {
    // The text is parsed rather than built, since reading settings belongs to a start.
    String settings =
        """
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
    var parsed = GatewaySettingsReader.read("training", settings);
    Logs.install(parsed.logLevel(), System.out);
    return GatewayInstance.create(parsed, PlatformAdapterFactory::create);
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
