package org.magnoliavale.internal.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Sends several requests at once on a connection to a server that forwards them to an {@link
 * EchoEndpoint}, and checks that each of them is forwarded once and as it was sent, and answered.
 */
public final class PipeliningCaller {
  private static final int SOCKET_TIMEOUT_MS = 20_000;

  /** What the sockets hold without a reader; the endpoint answers once so much was sent. */
  private static final int AHEAD_BYTES = 16_384;

  private static final int FIRST_FOUR_DIGIT_NUMBER = 1_000;

  private static final int LARGEST_PIECE_BYTES = 32_768;

  /** How far an exchange has come. */
  private static final class Progress {
    /** The first request has reached the endpoint, which is about to answer it. */
    private final CountDownLatch arrived = new CountDownLatch(1);

    /** Bytes behind the first request have been sent. */
    private final CountDownLatch sentAhead = new CountDownLatch(1);
  }

  private final int port;
  private final String serverPrefix;
  private final String prefix;
  private final EchoEndpoint endpoint;
  private final Random random;
  private final Map<String, PipelinedRequest> sentByTarget = new HashMap<>();
  private int requests;

  /**
   * Returns a caller whose requests come from a seed.
   *
   * @param serverPrefix what the server removes from a path before it forwards a request
   * @param prefix what comes next in each path
   */
  public PipeliningCaller(
      int port, String serverPrefix, String prefix, EchoEndpoint endpoint, long seed) {
    this.port = port;
    this.serverPrefix = serverPrefix;
    this.prefix = serverPrefix + prefix;
    this.endpoint = endpoint;
    this.random = new Random(seed);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(SOCKET_TIMEOUT_MS);
    socket.setTcpNoDelay(true);
    return socket;
  }

  private String forwardedTarget(PipelinedRequest request) {
    return request.target().substring(serverPrefix.length());
  }

  private String nextId() {
    return "r-" + requests++;
  }

  /**
   * Sends rounds of 2 to 8 requests, in random pieces; returns what was wrong. In some rounds the
   * caller leaves before it has all answers.
   */
  public List<String> sendRandomRounds(int rounds) throws Exception {
    List<String> violations = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      List<PipelinedRequest> sent = new ArrayList<>();
      int count = 2 + random.nextInt(7);
      for (int i = 0; i < count; i++) {
        sent.add(PipelinedRequest.random(random, prefix, nextId()));
      }
      boolean leaves = random.nextInt(4) == 0;
      int answers = leaves ? random.nextInt(count) : count;
      for (String violation : exchange(sent, randomPieces(join(sent)), answers)) {
        violations.add("round " + round + ", " + count + " requests: " + violation);
      }
    }
    return violations;
  }

  /** Sends a small and a larger request, cut into two writes at each place; returns violations. */
  public List<String> cutAtEachPlace(boolean chunked) throws Exception {
    List<String> violations = new ArrayList<>();
    int length = 1;
    for (int cut = 0; cut < length; cut++) {
      // The same seed each time, so that all cuts are of the same bytes.
      Random same = new Random(1);
      String id = "r-" + (FIRST_FOUR_DIGIT_NUMBER + cut);
      List<PipelinedRequest> sent =
          List.of(
              PipelinedRequest.of(same, prefix, id + "-first", 9, chunked),
              PipelinedRequest.of(same, prefix, id + "-then", 40, !chunked));
      length = join(sent).length;
      for (String violation : exchange(sent, List.of(cut, length - cut), sent.size())) {
        violations.add("cut at " + cut + " of " + length + ": " + violation);
      }
    }
    return violations;
  }

  private static byte[] join(List<PipelinedRequest> requests) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    requests.forEach(request -> bytes.writeBytes(request.bytes()));
    return bytes.toByteArray();
  }

  private List<Integer> randomPieces(byte[] bytes) {
    List<Integer> sizes = new ArrayList<>();
    int largest = Math.min(LARGEST_PIECE_BYTES, 1 + bytes.length / (1 + random.nextInt(10)));
    int remaining = bytes.length;
    while (remaining > 0) {
      int size = Math.min(remaining, 1 + random.nextInt(largest));
      sizes.add(size);
      remaining -= size;
    }
    return sizes;
  }

  private List<String> exchange(List<PipelinedRequest> sent, List<Integer> pieces, int answers)
      throws Exception {
    sent.forEach(request -> sentByTarget.put(forwardedTarget(request), request));
    Progress progress = new Progress();
    endpoint.reset(
        ignored -> {
          progress.arrived.countDown();
          await(progress.sentAhead);
        });
    List<String> violations = new ArrayList<>();
    try (Socket socket = connect()) {
      Thread writing = Thread.ofVirtual().start(() -> write(socket, sent, pieces, progress));
      InputStream input = new BufferedInputStream(socket.getInputStream());
      for (int i = 0; i < answers && violations.isEmpty(); i++) {
        String violation = readAnswer(sent.get(i), input);
        if (!violation.isEmpty()) {
          violations.add("answer " + (i + 1) + ": " + violation);
        }
      }
      if (answers == 0) {
        await(progress.arrived);
      }
      socket.close();
      progress.arrived.countDown();
      progress.sentAhead.countDown();
      writing.join();
    }
    checkReceived(sent, answers, violations);
    return violations;
  }

  private static String readAnswer(PipelinedRequest request, InputStream input) throws IOException {
    try {
      return request.readAnswer(input);
    } catch (SocketTimeoutException e) {
      return "none";
    }
  }

  /** Checks all that came since the last exchange; requests of callers that left come late. */
  private void checkReceived(List<PipelinedRequest> sent, int answers, List<String> violations) {
    List<String> targets = sent.stream().map(this::forwardedTarget).toList();
    List<String> forwarded = new ArrayList<>();
    for (EchoEndpoint.Received received : endpoint.received()) {
      PipelinedRequest request = sentByTarget.get(received.target());
      if (request == null || !request.isSame(received, forwardedTarget(request))) {
        violations.add("forwarded otherwise than sent: " + received.target());
      }
      if (targets.contains(received.target())) {
        forwarded.add(received.target());
      }
    }
    int count = Math.min(forwarded.size(), targets.size());
    if (count < answers || !forwarded.equals(targets.subList(0, count))) {
      violations.add("forwarded " + forwarded + " of " + targets);
    }
  }

  private static void write(
      Socket socket, List<PipelinedRequest> sent, List<Integer> pieces, Progress progress) {
    byte[] bytes = join(sent);
    int firstBytes = sent.get(0).bytes().length;
    try {
      OutputStream output = socket.getOutputStream();
      int written = 0;
      for (int size : pieces) {
        output.write(bytes, written, size);
        written += size;
        if (written >= firstBytes + AHEAD_BYTES) {
          progress.sentAhead.countDown();
        }
        if (written >= firstBytes) {
          await(progress.arrived);
        } else {
          Thread.sleep(1);
        }
      }
    } catch (IOException e) {
      // The connection was closed, which the reader reports.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      progress.sentAhead.countDown();
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
