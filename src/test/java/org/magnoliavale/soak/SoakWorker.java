package org.magnoliavale.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;

/**
 * A sound worker on plain sockets. It streams the events that the query of a request asks for, goes
 * on after {@code Last-Event-Id}, refuses what exceeds its slots, and may pause as a whole.
 */
final class SoakWorker implements AutoCloseable {
  static final int SLOTS = 24;
  private static final int PERCENT = 100;
  private static final int SERVED = 200;
  private static final int FAILED = 500;
  private static final long PAUSE_CHECK_MS = 5;
  private static final long REPORT_AGE_MS = 300;

  private final String name;
  private final PlayClock clock;
  private final ServerSocket server;
  private final Semaphore slots = new Semaphore(SLOTS);
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
  private final Set<RunInProgress> runsInProgress = ConcurrentHashMap.newKeySet();
  private final Queue<Refusal> refusals = new ConcurrentLinkedQueue<>();
  private final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();
  private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();
  private volatile String statement = "";
  private final Queue<Long> answersWithStatement = new ConcurrentLinkedQueue<>();
  private volatile String refusal = "";
  private volatile boolean leaving;
  private volatile int born = 1;
  private volatile long pausedUntil;
  private volatile long fullFrom = Long.MAX_VALUE;
  private volatile long fullUntil = Long.MAX_VALUE;

  SoakWorker(String name, PlayClock clock) throws IOException {
    this.name = name;
    this.clock = clock;
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().name(name).start(this::acceptConnections);
  }

  String name() {
    return name;
  }

  int port() {
    return server.getLocalPort();
  }

  /** Returns all runs; those in progress as if they ended now. */
  List<Run> runs() {
    List<Run> result = new ArrayList<>(runs);
    runsInProgress.forEach(run -> result.add(run.endedAt(clock.now(), false)));
    return result;
  }

  Queue<Refusal> refusals() {
    return refusals;
  }

  /** Returns when requests of callers arrived, whether they were run or refused. */
  List<Long> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Returns when answers that bore a header line of {@link #say} were written. */
  List<Long> answersWithStatement() {
    return List.copyOf(answersWithStatement);
  }

  private void recordAnswer(String said) {
    if (!said.isEmpty()) {
      answersWithStatement.add(clock.now());
    }
  }

  /** Adds a header line to all answers from now on; an empty one says nothing any more. */
  void say(String headerLine) {
    statement = headerLine.isEmpty() ? "" : headerLine + "\r\n";
  }

  /** Refuses all requests with a header line from now on; an empty one ends that. */
  void refuse(String headerLine) {
    refusal = headerLine.isEmpty() ? "" : headerLine + "\r\n";
  }

  /** Returns the state of its entry in the store. */
  String state() {
    return leaving ? "draining" : "ready";
  }

  /** Returns the number of its start; each one counts as an incarnation of its own. */
  int born() {
    return born;
  }

  /** Says with its next heartbeat that it leaves; goes on with what it runs. */
  void leave() {
    leaving = true;
  }

  /** Comes back as a new incarnation. */
  void comeBack() {
    born++;
    leaving = false;
  }

  /** Writes nothing for some time, and goes on after it. */
  void pause(long milliseconds) {
    pausedUntil = clock.now() + milliseconds;
  }

  /** Refuses new requests between two times, as if others had taken all slots. */
  void fill(long from, long until) {
    fullFrom = from;
    fullUntil = until;
  }

  /** Refuses new requests for some time from now on. */
  void fillFor(long milliseconds) {
    fill(clock.now(), clock.now() + milliseconds);
  }

  private boolean isFullAt(long time) {
    return time >= fullFrom && time < fullUntil;
  }

  private void acceptConnections() {
    while (!server.isClosed()) {
      try {
        Socket connection = server.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Thread.ofVirtual().name(name + " connection").start(() -> serve(connection));
      } catch (IOException e) {
        // The worker has been closed, which ends the loop, or the connection is already gone.
        continue;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      for (HttpMessage request = HttpMessage.readHead(in);
          request != null;
          request = HttpMessage.readHead(in)) {
        awaitEndOfPause();
        request.readBody(in, ignored -> {});
        awaitEndOfPause();
        answer(request, connection);
      }
    } catch (IOException e) {
      // The instance has closed the connection; the run has recorded its own end.
      return;
    } finally {
      connections.remove(connection);
    }
  }

  private void answer(HttpMessage request, Socket connection) throws IOException {
    OutputStream out = connection.getOutputStream();
    String path = request.startLine().split(" ")[1];
    if (path.equals("/-/report")) {
      String said = statement;
      WorkerMessages.write(out, 200, said, WorkerDescription.report(this, reportedRunning()));
      recordAnswer(said);
    } else if (path.startsWith("/-/")) {
      String said = statement;
      WorkerMessages.write(out, 200, said, "{}");
      recordAnswer(said);
    } else {
      arrivals.add(clock.now());
      answerCall(request, path, connection);
    }
  }

  private void answerCall(HttpMessage request, String path, Socket connection) throws IOException {
    String refusalLine = refusal;
    if (!refusalLine.isEmpty() || isFullAt(clock.now()) || !slots.tryAcquire()) {
      refusals.add(new Refusal(request.header("x-request-attempt-id"), name, clock.now()));
      String headers = WorkerMessages.echo(request) + "X-Not-Executed: 1\r\n" + refusalLine;
      String said = statement;
      WorkerMessages.write(connection.getOutputStream(), 503, headers + said, "full");
      recordAnswer(said);
    } else {
      try {
        run(request, WorkerMessages.parameters(path), connection);
      } finally {
        slots.release();
      }
    }
  }

  private int reportedRunning() {
    boolean full = isFullAt(clock.now() - REPORT_AGE_MS);
    return full ? SLOTS : SLOTS - slots.availablePermits();
  }

  private void run(HttpMessage request, Map<String, Integer> query, Socket connection)
      throws IOException {
    RunInProgress run =
        new RunInProgress(request.header("x-request-attempt-id"), name, clock.now());
    runsInProgress.add(run);
    boolean whole = false;
    try {
      String said = statement;
      String headers =
          WorkerMessages.echo(request) + "X-Response-Signature: " + name + "\r\n" + said;
      PlayClock.sleep(query.getOrDefault("work", 0));
      awaitEndOfPause();
      if (query.containsKey("events")) {
        recordAnswer(said);
        stream(request, query, headers, run, connection);
      } else {
        WorkerMessages.write(
            connection.getOutputStream(), plainStatus(request, query), headers, "served");
        recordAnswer(said);
      }
      whole = true;
    } finally {
      runs.add(run.endedAt(clock.now(), whole));
      runsInProgress.remove(run);
    }
  }

  private void stream(
      HttpMessage request,
      Map<String, Integer> query,
      String headers,
      RunInProgress run,
      Socket connection)
      throws IOException {
    Form form = Form.ofQuery(query);
    OutputStream out = connection.getOutputStream();
    WorkerMessages.writeText(out, WorkerMessages.streamHead(headers, form));
    String last = request.header("last-event-id");
    int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    for (int number = first; number <= query.get("events"); number++) {
      String event = WorkerMessages.event(number, query.getOrDefault("size", 0));
      if (form.endsAfter(number - first)) {
        breakOff(form, event, connection);
      }
      WorkerMessages.writeText(out, WorkerMessages.part(event, form));
      run.eventWritten();
      PlayClock.sleep(query.getOrDefault("gap", 0));
      awaitEndOfPause();
    }
    if (form.framing() == Form.Framing.CHUNKS) {
      WorkerMessages.writeText(out, "0\r\n\r\n");
    } else {
      connection.shutdownOutput();
    }
  }

  /** Ends a run before or within an event. */
  private static void breakOff(Form form, String event, Socket connection) throws IOException {
    if (form.ending() == Form.Ending.RESET_BETWEEN_EVENTS) {
      connection.setSoLinger(true, 0);
    } else {
      String half = WorkerMessages.part(event.substring(0, event.length() / 2), form);
      WorkerMessages.writeText(connection.getOutputStream(), half);
    }
    connection.close();
    throw new IOException("broken off");
  }

  /** Returns status 500 for the share of the requests, in percent, that is asked for. */
  private int plainStatus(HttpMessage request, Map<String, Integer> query) {
    int draw = Math.floorMod((request.header("x-request-attempt-id") + name).hashCode(), PERCENT);
    return draw < query.getOrDefault("fail", 0) ? FAILED : SERVED;
  }

  private void awaitEndOfPause() {
    while (clock.now() < pausedUntil) {
      PlayClock.sleep(PAUSE_CHECK_MS);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
