package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.magnoliavale.platform.standin.StoreStandIn;

/**
 * The project's own program as separate processes, started as the deploy file says, in front of the
 * project's stand-in of the store. All addresses are on loopback.
 */
public final class Deployment implements AutoCloseable {
  /** Host of all routes. */
  public static final String HOST = "ficu95.example";

  /** Zone of all instances and workers. */
  public static final String ZONE = "ub-east";

  /** Bound grace-period-s of the sheet. */
  public static final int GRACE_PERIOD_S = 8;

  /** One process of the system. */
  public record Instance(String name, Process process, int frontPort, int readyPort) {
    /** Sends a signal. */
    public void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
  }

  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final StoreStandIn store;
  private final List<Instance> instances = new ArrayList<>();

  /** Starts the store; the folder takes settings and logs. */
  public Deployment(Path folder) {
    this.folder = folder;
    store = new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    store.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  /** Returns the store. */
  public StoreStandIn store() {
    return store;
  }

  /** Writes the operator's configuration. */
  public void configure(String json) {
    store.write("op", "config", json.getBytes(StandardCharsets.UTF_8));
  }

  /** Starts one instance as the deploy file says and waits until it is ready. */
  public Instance startInstance(int number) throws IOException, InterruptedException {
    int[] ports = freePorts(4);
    String name = "front-" + ZONE + "-" + number;
    Map<String, String> fields =
        Map.ofEntries(
            Map.entry("node-name", name),
            Map.entry("zone", ZONE),
            Map.entry("listen.front", "127.0.0.1:" + ports[0]),
            Map.entry("listen.ready", "127.0.0.1:" + ports[1]),
            Map.entry("ip-address", "127.0.0.1"),
            Map.entry("internal-ports.0", Integer.toString(ports[2])),
            Map.entry("internal-ports.1", Integer.toString(ports[3])),
            Map.entry("platform.address", "127.0.0.1:" + store.port()),
            Map.entry("bounds.grace-period-s", Integer.toString(GRACE_PERIOD_S)),
            Map.entry("bounds.lease-ms", "3000"),
            Map.entry("bounds.ceiling-window-s", "5"),
            Map.entry("bounds.budget-ratio", "0.2"),
            Map.entry("bounds.budget-slack", "56"),
            Map.entry("bounds.budget-window-s", "10"));
    String settings = Files.readString(root.resolve("deploy/gateway.ini.template"));
    for (Map.Entry<String, String> field : fields.entrySet()) {
      settings = settings.replace("{{" + field.getKey() + "}}", field.getValue());
    }
    // Fields that a deployment leaves out are empty, as on the platform.
    settings = settings.replaceAll("\\{\\{[^{}]*}}", "");
    Path settingsFile = folder.resolve(name + ".ini");
    Files.writeString(settingsFile, settings);
    ProcessBuilder builder = new ProcessBuilder(runCommand());
    builder.directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("MAGNOLIAVALE_SETTINGS", settingsFile.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    Instance instance = new Instance(name, builder.start(), ports[0], ports[1]);
    instances.add(instance);
    awaitReady(instance);
    return instance;
  }

  private List<String> runCommand() throws IOException {
    String text = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(text);
    if (!run.find()) {
      throw new IOException("no run line in the deploy file");
    }
    return List.of(run.group(1).split(" "));
  }

  private static void awaitReady(Instance instance) throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (System.nanoTime() < end) {
      if (isReady(instance)) {
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException(instance.name() + " did not become ready");
  }

  /** Asks for readiness, as the platform does. */
  public static boolean isReady(Instance instance) {
    try (Client client = new Client(instance.readyPort(), 1_000)) {
      client.send("GET", "/-/readiness", "", 0, Map.of(), new byte[0]);
      return client.receive().second().equals("200");
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns free ports on loopback. */
  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** Returns the lines of an instance's log that contain a text. */
  public List<String> logLines(Instance instance, String text) throws IOException {
    try (var lines = Files.lines(folder.resolve(instance.name() + ".log"))) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  private void killAll() {
    instances.forEach(instance -> instance.process().destroyForcibly());
  }

  @Override
  public void close() {
    killAll();
    instances.forEach(instance -> instance.process().onExit().join());
    store.stop();
  }
}
