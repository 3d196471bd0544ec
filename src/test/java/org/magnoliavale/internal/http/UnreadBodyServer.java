package org.magnoliavale.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * A server on a plain socket that reads the head of a request only, so that the sender of a large
 * body blocks. A test sends the response and ends the connection.
 */
public final class UnreadBodyServer implements AutoCloseable {
  /** Size of a body that no connection takes as a whole, in bytes. */
  public static final int LARGE_BODY_BYTES = 16 * 1_024 * 1_024;

  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int TIMEOUT_MS = 20_000;
  private static final String HEAD_END = "\r\n\r\n";

  /** A request whose head has been read. */
  public static final class Received {
    private final Socket socket;
    private final String head;

    private Received(Socket socket, String head) {
      this.socket = socket;
      this.head = head;
    }

    /** Returns the value of a header, empty if there is none. */
    public String header(String name) {
      for (String line : head.split("\r\n")) {
        if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
          return line.substring(name.length() + 1).strip();
        }
      }
      return "";
    }

    /** Sends a part of the response. */
    public void send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
    }

    /** Reads the body of the request. */
    public void readBody() throws IOException {
      socket.getInputStream().skipNBytes(Long.parseLong(header("Content-Length")));
    }

    /** Waits until the sender has closed or reset the connection. */
    public void awaitClose() {
      try {
        socket.getInputStream().transferTo(OutputStream.nullOutputStream());
      } catch (SocketTimeoutException e) {
        throw new IllegalStateException(e);
      } catch (IOException e) {
        // The sender reset the connection.
        return;
      }
    }

    /** Ends the response in an orderly way; the request may still be sent. */
    public void shutDownOutput() throws IOException {
      socket.shutdownOutput();
    }

    /** Closes the connection, in an orderly way if the request has been read. */
    public void close() throws IOException {
      socket.close();
    }

    /** Resets the connection. */
    public void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private final ServerSocket server = new ServerSocket();

  /** Opens a server on any port of the loopback address. */
  public UnreadBodyServer() throws IOException {
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.setSoTimeout(TIMEOUT_MS);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Accepts a connection and reads the head of its request. */
  public Received accept() throws IOException {
    Socket socket = server.accept();
    socket.setSoTimeout(TIMEOUT_MS);
    return new Received(socket, readHead(socket.getInputStream()));
  }

  /** Accepts a connection on which nothing is sent yet. */
  public Received acceptSilent() throws IOException {
    return new Received(server.accept(), "");
  }

  private static String readHead(InputStream input) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.UTF_8).endsWith(HEAD_END)) {
      int next = input.read();
      if (next < 0) {
        throw new EOFException();
      }
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
