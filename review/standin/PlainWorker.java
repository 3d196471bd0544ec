package review;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.magnoliavale.platform.standin.StoreStandIn;

/**
 * A worker of a plain service: runs requests in slots, queues a few more, and rejects the others
 * with 503 and X-Not-Executed. It records each request that begins to run.
 */
public class PlainWorker extends Worker {
  private final int slots;
  private final int queue;
  private final Map<String, AtomicInteger> runs;
  private int present;
  private int running;

  /**
   * Creates a worker.
   *
   * @param runs counts of runs by attempt id, shared by all workers
   */
  public PlainWorker(
      String id,
      String service,
      int slots,
      int queue,
      Map<String, AtomicInteger> runs,
      StoreStandIn store,
      Recorder recorder)
      throws IOException {
    super(id, service, store, recorder);
    this.slots = slots;
    this.queue = queue;
    this.runs = runs;
  }

  /** Returns a map for the counts of runs. */
  public static Map<String, AtomicInteger> newRuns() {
    return new ConcurrentHashMap<>();
  }

  @Override
  protected int slots() {
    return slots;
  }

  /** Returns how long a request works, in milliseconds. */
  protected long workMs(Http.Message request) {
    return ThreadLocalRandom.current().nextLong(30, 56);
  }

  /** Called before an answer is written; returns the bytes to write in place of it. */
  protected String beforeAnswer(
      Connection connection, Http.Message request, String answer, boolean executed) {
    return answer;
  }

  @Override
  protected void serve(Connection connection, Http.Message request) throws IOException {
    String attempt = request.header("X-Request-Attempt-Id");
    synchronized (this) {
      if (present >= slots + queue) {
        String answer =
            head("503 Service Unavailable", attempt) + "X-Not-Executed: full\r\nX-Server-Load: "
                + load() + "\r\nContent-Length: 0\r\n\r\n";
        connection.write(beforeAnswer(connection, request, answer, false));
        return;
      }
      present++;
      while (running >= slots) {
        try {
          wait();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
      running++;
    }
    int count = runs.computeIfAbsent(attempt, ignored -> new AtomicInteger()).incrementAndGet();
    recorder.log("run      %s at %s, %s, run number %d", attempt, id, request.method(), count);
    sleep(workMs(request));
    String body = "confirmed " + attempt + " at " + id + "\n";
    synchronized (this) {
      running--;
      present--;
      notify();
      String answer =
          head("200 OK", attempt) + "X-Response-Signature: " + id + "." + attempt
              + "\r\nX-Server-Load: " + load() + "\r\nContent-Type: text/plain\r\nContent-Length: "
              + body.length() + "\r\n\r\n" + body;
      connection.write(beforeAnswer(connection, request, answer, true));
    }
  }

  private String load() {
    return running + "," + (present - running) + "," + slots;
  }
}
