package org.heatherspread.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An endpoint that handles each request with a script, over real sockets. */
public final class FakeEndpoint implements AutoCloseable {
  private static final long MAX_CLOSE_NANOS = 1_000_000_000;

  private final ServerSocket listener;
  private final Script script;
  private final List<Request> requests = new CopyOnWriteArrayList<>();
  private final List<Long> closeTimesNanos = new CopyOnWriteArrayList<>();

  private FakeEndpoint(ServerSocket listener, Script script) {
    this.listener = listener;
    this.script = script;
  }

  /** Handles the requests of an endpoint; if it throws, the connection is closed. */
  public interface Script {
    /** Responds to a request. */
    void respond(Request request, Connection connection) throws Exception;
  }

  /** A received request. */
  public record Request(String requestLine, Map<String, String> headers, String body) {
    /** Returns a header, null if it is absent. */
    public String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  /** The connection of a request. */
  public record Connection(Socket socket, OutputStream out, InputStream in) {
    /** Sends text unchanged. */
    public void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    /** Sends a complete response with a signature and further headers. */
    public void respond(int status, String id, String body, String... headers) throws IOException {
      send("HTTP/1.1 " + status + " X\r\nAttempt-Id: " + id + "\r\nServer-Signature: sig-" + id);
      send("\r\nContent-Length: " + body.length() + "\r\n" + lines(headers) + "\r\n" + body);
    }

    /** Sends the head of a streamed response with further headers. */
    public void startStream(String id, String... headers) throws IOException {
      send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: sig\r\n");
      send("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
      send(lines(headers) + "\r\n");
    }

    /** Returns headers as lines of a message. */
    public static String lines(String... headers) {
      StringBuilder lines = new StringBuilder();
      for (String header : headers) {
        lines.append(header).append("\r\n");
      }
      return lines.toString();
    }

    /** Sends a chunk of a stream. */
    public void sendChunk(String text) throws IOException {
      send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Sends an event. */
    public void sendEvent(int id) throws IOException {
      sendChunk("id: " + id + "\ndata: piece-" + id + "\n\n");
    }

    /** Ends a stream. */
    public void endStream() throws IOException {
      send("0\r\n\r\n");
    }

    /** Resets the connection. */
    public void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Starts an endpoint. */
  public static FakeEndpoint start(Script script) throws IOException {
    return start(0, script);
  }

  /** Starts an endpoint at a port, 0 for any. */
  public static FakeEndpoint start(int port, Script script) throws IOException {
    ServerSocket listener = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
    FakeEndpoint endpoint = new FakeEndpoint(listener, script);
    startDaemonThread(endpoint::accept);
    return endpoint;
  }

  /**
   * Starts an endpoint whose streams have two events, of which the second one comes after the
   * streams of a leaving endpoint are migrated.
   */
  public static FakeEndpoint startSlowStreams() throws IOException {
    return start(
        (request, connection) -> {
          connection.startStream(request.header("attempt-id"));
          connection.sendEvent(1);
          Thread.sleep(1_500);
          connection.sendEvent(2);
          connection.endStream();
        });
  }

  /** Returns the bound port. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Returns the received requests. */
  public List<Request> requests() {
    return requests;
  }

  /** Returns the times at which {@link #awaitClose} detected the end of a connection. */
  public List<Long> closeTimesNanos() {
    return closeTimesNanos;
  }

  /** Waits until the peer closes or resets the connection. */
  public void awaitClose(Connection connection) throws IOException {
    try {
      while (connection.in().read() >= 0) {
        continue;
      }
    } catch (SocketException e) {
      // A reset ends the connection as well.
    }
    closeTimesNanos.add(System.nanoTime());
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        startDaemonThread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Connection connection = new Connection(socket, socket.getOutputStream(), in);
      Request request = read(in);
      while (request != null) {
        requests.add(request);
        script.respond(request, connection);
        request = read(in);
      }
    } catch (Exception e) {
      // A script that throws closes the connection.
    }
  }

  private static Request read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    String header = line(in);
    while (header == null || !header.isEmpty()) {
      if (header == null) {
        // The connection was closed within the head, so there is no request.
        return null;
      }
      int colon = header.indexOf(':');
      String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
      headers.put(name, header.substring(colon + 1).trim());
      header = line(in);
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      return null;
    }
    return new Request(line, headers, new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return next < 0 ? null : line.toString(StandardCharsets.UTF_8);
  }

  private static void startDaemonThread(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Closes the endpoint and waits until connections are refused. While another thread waits for
   * connections, the system accepts them for a moment after the listener was closed.
   */
  @Override
  public void close() throws IOException {
    int port = listener.getLocalPort();
    listener.close();
    long deadlineNanos = System.nanoTime() + MAX_CLOSE_NANOS;
    while (isAccepting(port) && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
  }

  private static boolean isAccepting(int port) {
    try (Socket probe = new Socket("127.0.0.1", port)) {
      return probe.isConnected();
    } catch (IOException e) {
      return false;
    }
  }
}
