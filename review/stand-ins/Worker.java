import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A worker on loopback, which registers itself and writes its entry at each heartbeat. */
final class Worker {
  static final long HEARTBEAT_MILLIS = 1_200;

  /** One request as it arrived. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(), "");
    }

    String id() {
      return header("Attempt-Id");
    }
  }

  /** Answers a request; returns whether the channel stays open. */
  interface Handler {
    boolean answer(Worker worker, Request request, OutputStream out)
        throws IOException, InterruptedException;
  }

  final String id;
  final String service;
  volatile String version;
  private final Platform platform;
  private final Handler handler;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private ServerSocket listener;
  private volatile boolean running;
  private volatile boolean registering;
  private volatile String state = "ready";
  private volatile long born;
  private long sequence;
  private final int port;

  Worker(Platform platform, String id, String service, String version, Handler handler)
      throws IOException {
    this.platform = platform;
    this.id = id;
    this.service = service;
    this.version = version;
    this.handler = handler;
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    port = listener.getLocalPort();
  }

  Worker start() {
    born = System.currentTimeMillis();
    running = true;
    registering = true;
    daemonThread(this::accept);
    daemonThread(this::beat);
    return this;
  }

  int port() {
    return port;
  }

  /** Writes the entry with another state. */
  void setState(String next) {
    state = next;
    register();
  }

  /** Ceases to write the entry, as without a path to the store. */
  void setRegistering(boolean next) {
    registering = next;
    if (next) {
      register();
    }
  }

  /** Starts again at the same address under the same identifier, with a version of the software. */
  void restart(String nextVersion) throws IOException {
    version = nextVersion;
    sequence = 0;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress("127.0.0.1", port), 200);
    start();
  }

  /** Ends the worker: closes its channels and removes its entry if asked to. */
  void stop(boolean removeEntry) throws IOException {
    running = false;
    registering = false;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
    if (removeEntry) {
      removeEntry();
    }
  }

  void removeEntry() {
    registering = false;
    platform.delete("servers", id);
  }

  private void register() {
    if (platform.isAway()) {
      return;
    }
    platform.put("servers", id, entry());
  }

  private synchronized String entry() {
    sequence++;
    return "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\",\"version\":\"%s\","
            .formatted(service, port, version)
        + "\"concurrency-slots\":64,\"state\":\"%s\",\"cold-remaining-ms\":0,\"born\":%d,"
            .formatted(state, born)
        + "\"sequence-number\":%d}".formatted(sequence);
  }

  private void beat() {
    try {
      while (running) {
        if (registering) {
          register();
        }
        Thread.sleep(HEARTBEAT_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept() {
    while (running) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        daemonThread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = new BufferedOutputStream(socket.getOutputStream());
      Request request = read(in);
      while (request != null) {
        String expected = request.header("Expected-Instance");
        boolean open;
        if (!expected.isEmpty() && !expected.equals(id)) {
          respond(out, 421, request.id(), "Instance-Id: " + id + "\r\n", new byte[0]);
          open = true;
        } else {
          open = handler.answer(this, request, out);
        }
        out.flush();
        if (!open) {
          return;
        }
        request = read(in);
      }
    } catch (IOException e) {
      // The peer has left.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  /** Sends a whole answer. */
  static void respond(OutputStream out, int status, String attempt, String headers, byte[] body)
      throws IOException {
    String head =
        "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n%s\r\n"
            .formatted(
                status,
                attempt.isEmpty() ? "" : "Attempt-Id: " + attempt + "\r\n",
                body.length,
                headers);
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  private static Request read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null || line.isEmpty()) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = new TreeMap<>();
    for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    return new Request(words[0], words[1], headers, in.readNBytes(length));
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    int c = in.read();
    if (c < 0) {
      return null;
    }
    for (; c >= 0 && c != '\n'; c = in.read()) {
      if (c != '\r') {
        read.write(c);
      }
    }
    return read.toString(StandardCharsets.ISO_8859_1);
  }

  static void daemonThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }
}
