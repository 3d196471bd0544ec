package org.magnoliavale.internal.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/** A connection on which a caller sends the next request in the moment it has an answer. */
public final class KeptConnection {
  private static final int SOCKET_TIMEOUT_MS = 20_000;
  private static final int MAXIMUM_BODY_BYTES = 50;

  private KeptConnection() {}

  /**
   * Sends requests with at most {@code outstanding} of them unanswered at a time; returns an empty
   * text if each was answered, or what was wrong.
   */
  public static String exchange(int port, String prefix, long seed, int requests, int outstanding)
      throws IOException {
    Random random = new Random(seed);
    Deque<PipelinedRequest> unanswered = new ArrayDeque<>();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MS);
      socket.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(socket.getInputStream());
      for (int i = 0; i < requests || !unanswered.isEmpty(); i++) {
        if (i < requests) {
          int bodyBytes = random.nextInt(MAXIMUM_BODY_BYTES);
          PipelinedRequest request =
              PipelinedRequest.of(random, prefix, "k-" + i, bodyBytes, random.nextBoolean());
          socket.getOutputStream().write(request.bytes());
          unanswered.add(request);
        }
        if (unanswered.size() == outstanding || i >= requests) {
          String violation = unanswered.remove().readAnswer(input);
          if (!violation.isEmpty()) {
            return "request " + i + ": " + violation;
          }
        }
      }
      return "";
    }
  }
}
