package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.magnoliavale.platform.standin.StoreStandIn;

/** Base of a worker: accepts connections, and lists itself in the store as the pages say. */
public abstract class Worker implements AutoCloseable {
  /** Interval between two writes of the entry, in milliseconds. */
  private static final long HEARTBEAT_MS = 1_200;

  /** One connection of an instance. */
  public static final class Connection {
    final Socket socket;
    final InputStream input;
    final OutputStream output;
    /** Bytes that the worker still owes at the point of the next response, or null. */
    byte[] late;

    /** When these bytes became due, on the recorder's clock. */
    long lateMs;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.input = new BufferedInputStream(socket.getInputStream());
      this.output = socket.getOutputStream();
    }

    synchronized void write(String text) throws IOException {
      output.write(text.getBytes(StandardCharsets.UTF_8));
      output.flush();
    }
  }

  protected final String id;
  protected final String service;
  protected final Recorder recorder;
  protected final long born = System.currentTimeMillis();
  private final StoreStandIn store;
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean stopped;
  private long heartbeats;

  protected Worker(String id, String service, StoreStandIn store, Recorder recorder)
      throws IOException {
    this.id = id;
    this.service = service;
    this.store = store;
    this.recorder = recorder;
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
  }

  /** Lists the worker and starts to accept. */
  public void start() {
    writeEntry();
    Thread.ofVirtual().start(this::acceptLoop);
    Thread.ofVirtual().start(this::heartbeatLoop);
  }

  private void acceptLoop() {
    while (!stopped) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serveConnection(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serveConnection(Socket socket) {
    try (socket) {
      Connection connection = new Connection(socket);
      while (!stopped) {
        Http.Message request = Http.readRequest(connection.input);
        if (request == null) {
          return;
        }
        String expected = request.header("X-Expected-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          connection.write(head("421 Misdirected Request", "") + "X-Instance-Id: " + id
              + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        serve(connection, request);
      }
    } catch (IOException e) {
      return;
    } finally {
      sockets.remove(socket);
    }
  }

  /** Returns a status line and the header with the attempt's id. */
  protected static String head(String status, String attemptId) {
    String idLine = attemptId.isEmpty() ? "" : "X-Request-Attempt-Id: " + attemptId + "\r\n";
    return "HTTP/1.1 " + status + "\r\n" + idLine;
  }

  /** Returns a whole response with a body of JSON. */
  protected static String json(String status, String body) {
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
        + body.length() + "\r\n\r\n" + body;
  }

  /** Answers one request. */
  protected abstract void serve(Connection connection, Http.Message request) throws IOException;

  /** Returns the fields of the entry beyond those that all workers have, each with a comma. */
  protected String entryFields() {
    return "";
  }

  /** Returns the number of requests that run at once. */
  protected abstract int slots();

  private void heartbeatLoop() {
    while (!stopped) {
      sleep(HEARTBEAT_MS);
      if (!stopped) {
        writeEntry();
      }
    }
  }

  /** Writes the worker's entry. */
  protected final synchronized void writeEntry() {
    heartbeats++;
    String entry =
        "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
            + "\",\"zone\":\"" + Deployment.ZONE + "\",\"version\":\"v1\",\"slots\":" + slots()
            + ",\"state\":\"ready\",\"cold-remaining-ms\":0," + entryFields() + "\"sequence\":"
            + heartbeats + ",\"born\":" + born + "}";
    store.write("servers", id, entry.getBytes(StandardCharsets.UTF_8));
  }

  /** Sleeps. */
  protected static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    stopped = true;
    try {
      server.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      return;
    }
  }
}
