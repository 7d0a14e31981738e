package org.heatherspread.node.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.heatherspread.relay.FakeEndpoint;

/**
 * Caller that sends requests one after the other on a persistent connection and checks each
 * response. The prompts of all callers begin with the same segment. Confined to one thread.
 */
final class SoakCaller implements Runnable {
  private static final Set<String> RETRYABLE_ROUTES = Set.of("read", "draft");
  private static final List<String> ROUTES = List.of("read", "write", "draft", "reply");
  private static final String RESUMABLE_ROUTE = "draft";
  private static final int DEADLINE_MILLIS = 2_500;
  private static final int MAX_PAUSE_MILLIS = 40;
  private static final int CRASHING_PAUSE_MILLIS = 300;
  private static final double DISCONNECT_PROBABILITY = 0.02;
  private static final String CRASHING_PATH = "/draft/crash";

  /** Comment in each event that names the version of the endpoint. */
  private static final Pattern VERSION_LINE = Pattern.compile("(?m)^: ([^\n]*)\n");

  private static final String CRASHING_SEGMENT = "dead:20,";

  /** What the requests of a caller have in common. */
  enum Kind {
    /** They are sound. */
    SOUND,
    /** They are identical and end each endpoint that begins their answers. */
    CRASHING_REQUEST,
    /** They have a segment in their prompts that does so. */
    CRASHING_SEGMENT
  }

  private final String name;
  private final Kind kind;
  private final RequestHistory history;
  private final SplittableRandom random;
  private final Supplier<List<Integer>> daemons;
  private final Supplier<AccountKeys.Key> keys;
  private final AtomicBoolean stopped;
  private Socket socket;
  private int sentCount;

  /** Stream to resume with the next request, null if there is none. */
  private BrokenStream broken;

  /** Stream that the current request resumes, null if there is none. */
  private BrokenStream resumed;

  SoakCaller(
      String name,
      Kind kind,
      RequestHistory history,
      SplittableRandom random,
      Supplier<List<Integer>> daemons,
      Supplier<AccountKeys.Key> keys,
      AtomicBoolean stopped) {
    this.name = name;
    this.kind = kind;
    this.history = history;
    this.random = random;
    this.daemons = daemons;
    this.keys = keys;
    this.stopped = stopped;
  }

  @Override
  public void run() {
    while (!stopped.get()) {
      try {
        sendRequest();
        int maxPauseMillis = kind == Kind.SOUND ? MAX_PAUSE_MILLIS : CRASHING_PAUSE_MILLIS;
        TimeUnit.MILLISECONDS.sleep(random.nextInt(maxPauseMillis));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void sendRequest() throws InterruptedException {
    resumed = broken;
    broken = null;
    String route = kind == Kind.SOUND ? ROUTES.get(random.nextInt(ROUTES.size())) : "draft";
    if (resumed != null) {
      route = RESUMABLE_ROUTE;
    }
    String id = name + "-" + sentCount++;
    AccountKeys.Key key = keys.get();
    boolean disconnects = random.nextDouble() < DISCONNECT_PROBABILITY;
    Socket connection;
    try {
      connection = obtainConnection();
    } catch (IOException e) {
      // Nothing was sent; the next request opens a connection to a random daemon.
      closeConnection();
      TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MILLIS);
      return;
    }
    try {
      history.recordSent(
          new RequestHistory.SentRequest(
              id,
              route.equals("write") || route.equals("read") ? "plain" : "model",
              key.account(),
              RETRYABLE_ROUTES.contains(route),
              System.nanoTime(),
              key));
      String head =
          (route.equals("read") ? "GET" : "POST")
              + " "
              + (kind == Kind.CRASHING_REQUEST ? CRASHING_PATH : "/" + route + "/x")
              + " HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: "
              + id
              + "\r\nDeadline-Remaining: "
              + DEADLINE_MILLIS
              + "\r\nToken-Counts: 100,20\r\nPrompt-Prefix: "
              + prompt()
              + resumptionHeaders()
              + "\r\nAuthorization: Bearer "
              + key.value()
              + "\r\nContent-Length: 0\r\n\r\n";
      connection.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      if (disconnects) {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        closeConnection();
        return;
      }
      history.recordResponse(id, readResponse(id, route, connection.getInputStream()));
    } catch (IOException e) {
      // Without a response the request may or may not have been executed; the next request opens a
      // connection to a random daemon.
      history.recordResponse(id, new RequestHistory.Response(0, false, ""));
      closeConnection();
      TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MILLIS);
    }
  }

  private String resumptionHeaders() {
    return resumed == null
        ? ""
        : "\r\nResumes: " + resumed.attemptId + "\r\nLast-Event-Id: " + resumed.lastEvent;
  }

  /** Returns the segments of a prompt of which only the last differs from those of its kind. */
  private String prompt() {
    String own = Integer.toHexString(System.identityHashCode(this)) + sentCount + ":30";
    return "a1:50," + (kind == Kind.CRASHING_SEGMENT ? CRASHING_SEGMENT : "") + own;
  }

  /** Returns whether an endpoint that begins the answer to a request ends. */
  static boolean endsEndpoint(FakeEndpoint.Request request) {
    String prompt = String.valueOf(request.header("prompt-prefix"));
    return request.requestLine().contains(CRASHING_PATH) || prompt.contains(CRASHING_SEGMENT);
  }

  private Socket obtainConnection() throws IOException {
    if (socket == null) {
      List<Integer> ports = daemons.get();
      if (ports.isEmpty()) {
        throw new IOException("no daemon addresses are known");
      }
      socket = new Socket();
      int port = ports.get(random.nextInt(ports.size()));
      socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(2 * DEADLINE_MILLIS);
    }
    return socket;
  }

  private void closeConnection() {
    if (socket == null) {
      return;
    }
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is discarded in any case.
    }
    socket = null;
  }

  private RequestHistory.Response readResponse(String id, String route, InputStream in)
      throws IOException {
    String statusLine = readLine(in);
    int status = Integer.parseInt(statusLine.split(" ")[1]);
    Map<String, String> headers = new HashMap<>();
    String header = readLine(in);
    while (!header.isEmpty()) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
      header = readLine(in);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = readBody(in, headers, body);
    if (!complete || "close".equalsIgnoreCase(headers.get("connection"))) {
      closeConnection();
    }
    String text = body.toString(StandardCharsets.UTF_8);
    boolean isStream = headers.containsKey("transfer-encoding");
    if (!complete && status == 200 && isStream && route.equals(RESUMABLE_ROUTE)) {
      recordBreak(id, text);
    }
    return new RequestHistory.Response(
        status, complete, status == 200 ? findViolation(id, headers, text, complete) : "");
  }

  /** A stream that broke after some events. */
  private record BrokenStream(String attemptId, int lastEvent, String version) {}

  /** Keeps a stream that broke after its first event, so that the next request resumes it. */
  private void recordBreak(String id, String body) {
    List<String> versions = versions(body);
    int lastEvent = (resumed == null ? 0 : resumed.lastEvent) + versions.size();
    if (!versions.isEmpty() && lastEvent < SoakEndpoint.EVENT_COUNT) {
      String first = resumed == null ? id : resumed.attemptId;
      broken = new BrokenStream(first, lastEvent, versions.get(0));
    }
  }

  private static List<String> versions(String body) {
    return VERSION_LINE.matcher(body).results().map(match -> match.group(1)).toList();
  }

  private String findViolation(
      String id, Map<String, String> headers, String body, boolean complete) {
    if (!id.equals(headers.get("attempt-id")) || !headers.containsKey("server-signature")) {
      return "received a response without the headers of its request: " + headers;
    }
    if (!headers.containsKey("transfer-encoding")) {
      return !complete || body.equals("ok-" + id) ? "" : "received an unexpected body: " + body;
    }
    StringBuilder expected = new StringBuilder();
    int firstEvent = resumed == null ? 1 : resumed.lastEvent + 1;
    for (int event = firstEvent; event <= SoakEndpoint.EVENT_COUNT; event++) {
      expected.append("id: ").append(event).append("\ndata: piece-").append(event).append("\n\n");
    }
    Set<String> versions = new HashSet<>(versions(body));
    if (resumed != null && !versions.isEmpty()) {
      versions.add(resumed.version);
    }
    if (versions.size() > 1) {
      return "received a stream of several versions: " + body;
    }
    String events = body.replaceAll(VERSION_LINE.pattern() + "?", "");
    if (complete) {
      return events.contentEquals(expected)
          ? ""
          : "received a complete stream with unexpected events: " + body;
    }
    return expected.toString().startsWith(events) ? "" : "received unexpected events: " + body;
  }

  private static boolean readBody(
      InputStream in, Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
    try {
      if (!headers.containsKey("transfer-encoding")) {
        int length = Integer.parseInt(headers.get("content-length"));
        byte[] bytes = in.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
      }
      int size = Integer.parseInt(readLine(in), 16);
      while (size > 0) {
        body.writeBytes(in.readNBytes(size));
        readLine(in);
        size = Integer.parseInt(readLine(in), 16);
      }
      readLine(in);
      return true;
    } catch (IOException e) {
      // The connection failed within the body, so that the caller sees an incomplete response.
      return false;
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new IOException("connection closed within a line");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.UTF_8);
  }
}
