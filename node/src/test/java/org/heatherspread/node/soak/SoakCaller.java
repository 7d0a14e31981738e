package org.heatherspread.node.soak;

import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
 * Caller that sends requests on a persistent connection, one after the other or several ahead of
 * their responses, and checks each response. The prompts of all callers begin with the same
 * segment. Confined to one thread.
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

  /** Largest number of requests that are sent before the response to the first one. */
  private static final int MAX_AHEAD = 12;

  private static final int MAX_PART_BYTES = 600;
  private static final int MAX_PART_PAUSE_MILLIS = 30;

  private static final int MAX_SMALL_BODY_BYTES = 300;

  /** Time for a transfer of a large body, which route "bulk" permits. */
  static final int BULK_MILLIS = 8_000;

  private static final int MIN_BYTES_PER_MILLI = 2_000;
  private static final int MAX_BYTES_PER_MILLI = 4_000;

  /** Time in which callers that read slowly may send their next request on the connection. */
  private static final int MAX_NEXT_REQUEST_MILLIS = 6_000;

  /** How much slower bodies are sent than large responses are read. */
  private static final int UPLOAD_DIVISOR = 4;

  private static final int BLOCK_BYTES = 1 << 14;

  /** How often a request is sent again with its id. */
  private static final int MAX_REPETITIONS = 4;

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
    CRASHING_SEGMENT,
    /** Several are sent at a time before their responses, some of them with bodies. */
    SENT_AHEAD,
    /** Their responses are large and are read slowly. */
    READ_SLOWLY,
    /** Their bodies have almost the permitted size and are sent slowly to one daemon. */
    UPLOADED,
    /** They are sound, and are sent again with their ids if they were refused or not answered. */
    REPEATED
  }

  private final String name;
  private final Kind kind;
  private final RequestHistory history;
  private final SplittableRandom random;
  private final Supplier<List<Integer>> daemons;
  private final Supplier<AccountKeys.Key> keys;
  private final AtomicBoolean stopped;
  private final AtomicBoolean paused;
  private Socket socket;
  private int sentCount;

  /** Stream to resume with the next request, null if there is none. */
  private BrokenStream broken;

  /** Stream that the current request resumes, null if there is none. */
  private BrokenStream resumed;

  /** Request to send again with its id, null if there is none. */
  private RepeatedRequest repeated;

  SoakCaller(
      String name,
      Kind kind,
      RequestHistory history,
      SplittableRandom random,
      Supplier<List<Integer>> daemons,
      Supplier<AccountKeys.Key> keys,
      AtomicBoolean stopped,
      AtomicBoolean paused) {
    this.name = name;
    this.kind = kind;
    this.history = history;
    this.random = random;
    this.daemons = daemons;
    this.keys = keys;
    this.stopped = stopped;
    this.paused = paused;
  }

  @Override
  public void run() {
    while (!stopped.get()) {
      try {
        while (paused.get()) {
          // The pause may exceed the idle timeout of kept connections.
          closeConnection();
          TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MILLIS);
        }
        switch (kind) {
          case SENT_AHEAD -> sendAhead();
          case READ_SLOWLY -> sendBulk("download", "");
          case UPLOADED -> sendBulk("upload", largeBody());
          default -> sendRequest();
        }
        int maxPauseMillis =
            kind == Kind.SOUND || kind == Kind.REPEATED ? MAX_PAUSE_MILLIS : CRASHING_PAUSE_MILLIS;
        TimeUnit.MILLISECONDS.sleep(random.nextInt(maxPauseMillis));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void sendRequest() throws InterruptedException {
    if (repeated != null) {
      RepeatedRequest next = repeated;
      repeated = null;
      send(next.id, next.route, next.repetition);
      return;
    }
    resumed = broken;
    broken = null;
    boolean anyRoute = kind == Kind.SOUND || kind == Kind.REPEATED;
    String route = anyRoute ? ROUTES.get(random.nextInt(ROUTES.size())) : "draft";
    if (resumed != null) {
      route = RESUMABLE_ROUTE;
    }
    send(name + "-" + sentCount++, route, 0);
  }

  /** Sends a request and reads its response. */
  private void send(String id, String route, int repetition) throws InterruptedException {
    final String attempt = RequestHistory.attempt(id, repetition);
    AccountKeys.Key key = keys.get();
    boolean disconnects = random.nextDouble() < DISCONNECT_PROBABILITY;
    Socket connection = tryConnection();
    if (connection == null) {
      return;
    }
    try {
      recordSent(attempt, route, key);
      String path = kind == Kind.CRASHING_REQUEST ? CRASHING_PATH : "/" + route + "/x";
      String headers = resumptionHeaders();
      if (repetition > 0) {
        headers += "\r\n" + SoakEndpoint.REPETITION + ": " + repetition;
      }
      String head = head(id, route, path, key, DEADLINE_MILLIS, headers, "");
      connection.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      if (disconnects) {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
        closeConnection();
        repeatUnanswered(id, route, repetition);
        return;
      }
      RequestHistory.Response response = readResponse(id, route, connection.getInputStream());
      history.recordResponse(attempt, response);
      if (RequestHistory.promisesNoExecution(response.status())) {
        repeatLater(id, route, repetition);
      }
    } catch (IOException e) {
      // Without a response the request may or may not have been executed; the next request opens a
      // connection to a random daemon.
      history.recordResponse(attempt, new RequestHistory.Response(0, false, ""));
      closeConnection();
      repeatUnanswered(id, route, repetition);
      TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MILLIS);
    }
  }

  private void repeatLater(String id, String route, int repetition) {
    if (kind == Kind.REPEATED && repetition < MAX_REPETITIONS) {
      repeated = new RepeatedRequest(id, route, repetition + 1);
    }
  }

  /** Repeats no stream that may have begun, as its id would not tell which one is resumed later. */
  private void repeatUnanswered(String id, String route, int repetition) {
    if (!route.equals(RESUMABLE_ROUTE)) {
      repeatLater(id, route, repetition);
    }
  }

  /** A request that has been sent and is sent again, as the given repetition. */
  private record RepeatedRequest(String id, String route, int repetition) {}

  private void recordSent(String id, String route, AccountKeys.Key key) {
    history.recordSent(
        new RequestHistory.SentRequest(
            id,
            route.equals("draft") || route.equals("reply") ? "model" : "plain",
            key.account(),
            RETRYABLE_ROUTES.contains(route),
            System.nanoTime(),
            key));
  }

  private String head(
      String id,
      String route,
      String path,
      AccountKeys.Key key,
      int deadlineMillis,
      String furtherHeaders,
      String body) {
    return (route.equals("read") ? "GET " : "POST ")
        + path
        + " HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: "
        + id
        + "\r\nDeadline-Remaining: "
        + deadlineMillis
        + "\r\nToken-Counts: 100,20\r\nPrompt-Prefix: "
        + prompt()
        + furtherHeaders
        + "\r\nAuthorization: Bearer "
        + key.value()
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n";
  }

  private static String bodyHeader(String body) {
    return "\r\n" + SoakEndpoint.BODY_CHECK + ": " + SoakEndpoint.checkValue(body);
  }

  private String largeBody() {
    int missing = 1 + random.nextInt(BLOCK_BYTES);
    return (name + sentCount + ';')
        .repeat(SoakEndpoint.MAX_BODY_BYTES)
        .substring(0, SoakEndpoint.MAX_BODY_BYTES - missing);
  }

  /** Sends several requests, divided into parts at random, and reads responses meanwhile. */
  private void sendAhead() throws InterruptedException {
    int count = 2 + random.nextInt(MAX_AHEAD - 1);
    List<String> ids = new ArrayList<>();
    List<String> routes = new ArrayList<>();
    StringBuilder text = new StringBuilder();
    AccountKeys.Key key = keys.get();
    for (int i = 0; i < count; i++) {
      String route = ROUTES.get(random.nextInt(ROUTES.size()));
      String id = name + "-" + sentCount++;
      String body =
          route.equals("read") ? "" : "b".repeat(random.nextInt(MAX_SMALL_BODY_BYTES)) + id;
      text.append(
          head(id, route, "/" + route + "/x", key, DEADLINE_MILLIS, bodyHeader(body), body));
      text.append(body);
      ids.add(id);
      routes.add(route);
    }
    Socket connection = tryConnection();
    if (connection == null) {
      return;
    }
    for (int i = 0; i < count; i++) {
      recordSent(ids.get(i), routes.get(i), key);
    }
    int answered = 0;
    SplittableRandom writerRandom = random.split();
    DaemonThreads.start(
        "writer-" + name, () -> writeParts(connection, text.toString(), writerRandom));
    try {
      for (; answered < count && socket != null; answered++) {
        String id = ids.get(answered);
        history.recordResponse(
            id, readResponse(id, routes.get(answered), connection.getInputStream()));
      }
    } catch (IOException e) {
      closeConnection();
      TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MILLIS);
    }
    broken = null;
    for (String id : ids.subList(answered, count)) {
      history.recordResponse(id, new RequestHistory.Response(0, false, ""));
    }
  }

  /** Sends a request with a large body or a large response at the speed of a slow line. */
  private void sendBulk(String operation, String body) throws InterruptedException {
    int readBytesPerMilli =
        MIN_BYTES_PER_MILLI + random.nextInt(MAX_BYTES_PER_MILLI - MIN_BYTES_PER_MILLI);
    int bytesPerMilli = body.isEmpty() ? readBytesPerMilli : readBytesPerMilli / UPLOAD_DIVISOR;
    String id = name + "-" + sentCount++;
    AccountKeys.Key key = keys.get();
    Socket connection = tryConnection();
    if (connection == null) {
      return;
    }
    history.recordBulk(id);
    recordSent(id, "bulk", key);
    try {
      String path = "/bulk/" + operation;
      String head = head(id, "bulk", path, key, BULK_MILLIS, bodyHeader(body), body);
      writeSlowly(connection, head + body, bytesPerMilli);
      SlowInputStream slow = new SlowInputStream(connection.getInputStream(), bytesPerMilli);
      String nextId = id + "-next";
      if (kind == Kind.READ_SLOWLY) {
        String next = head(nextId, "bulk", path, key, BULK_MILLIS, "", "");
        slow.actOnceAfter(
            random.nextInt(MAX_NEXT_REQUEST_MILLIS),
            () -> {
              history.recordBulk(nextId);
              recordSent(nextId, "bulk", key);
              connection.getOutputStream().write(next.getBytes(StandardCharsets.US_ASCII));
            });
      }
      history.recordResponse(id, readResponse(id, "bulk", slow));
      // A daemon that stops closes the connection after the first response.
      if (slow.hasActed() && socket == connection) {
        history.recordResponse(nextId, readResponse(nextId, "bulk", slow));
      }
    } catch (IOException e) {
      history.recordResponse(id, new RequestHistory.Response(0, false, ""));
      closeConnection();
      TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MILLIS);
    }
  }

  private static void writeParts(Socket to, String text, SplittableRandom random) {
    try {
      int from = 0;
      while (from < text.length()) {
        int end = Math.min(text.length(), from + 1 + random.nextInt(MAX_PART_BYTES));
        to.getOutputStream().write(text.substring(from, end).getBytes(StandardCharsets.US_ASCII));
        from = end;
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PART_PAUSE_MILLIS));
      }
    } catch (IOException e) {
      // The reader of the responses finds that the connection is closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void writeSlowly(Socket to, String text, int bytesPerMilli)
      throws IOException, InterruptedException {
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    for (int from = 0; from < bytes.length; from += BLOCK_BYTES) {
      int length = Math.min(BLOCK_BYTES, bytes.length - from);
      to.getOutputStream().write(bytes, from, length);
      TimeUnit.MILLISECONDS.sleep(length / bytesPerMilli);
    }
  }

  /** Stream that is read at a limited speed. */
  private static final class SlowInputStream extends FilterInputStream {
    private final int bytesPerMilli;
    private long actionNanos = Long.MAX_VALUE;
    private Action action;
    private boolean acted;

    /** Is carried out while the stream is read. */
    private interface Action {
      void run() throws IOException;
    }

    /** Runs an action in the first read after a time. */
    void actOnceAfter(long millis, Action next) {
      actionNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
      action = next;
    }

    boolean hasActed() {
      return acted;
    }

    SlowInputStream(InputStream in, int bytesPerMilli) {
      super(in);
      this.bytesPerMilli = bytesPerMilli;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
      if (!acted && action != null && System.nanoTime() >= actionNanos) {
        acted = true;
        action.run();
      }
      int read = super.read(target, offset, Math.min(length, BLOCK_BYTES));
      try {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, read) / bytesPerMilli);
      } catch (InterruptedException e) {
        throw new InterruptedIOException();
      }
      return read;
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

  /** Returns the open connection or a new one, null if it cannot be opened. */
  private Socket tryConnection() throws InterruptedException {
    try {
      return obtainConnection();
    } catch (IOException e) {
      // Nothing was sent; the next request opens a connection to a random daemon.
      closeConnection();
      TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MILLIS);
      return null;
    }
  }

  private Socket obtainConnection() throws IOException {
    if (socket == null) {
      List<Integer> ports = daemons.get();
      if (ports.isEmpty()) {
        throw new IOException("no daemon addresses are known");
      }
      socket = new Socket();
      if (kind == Kind.READ_SLOWLY) {
        socket.setReceiveBufferSize(BLOCK_BYTES);
      }
      int port = ports.get(kind == Kind.UPLOADED ? 0 : random.nextInt(ports.size()));
      socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(kind == Kind.UPLOADED ? 2 * BULK_MILLIS : 2 * DEADLINE_MILLIS);
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
    String signature = headers.getOrDefault("server-signature", "");
    if (signature.startsWith(SoakEndpoint.LATE_SIGNATURE)) {
      return new RequestHistory.Response(
          status,
          complete,
          "received " + status + " of the second answer of an endpoint: " + headers);
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
      String whole = kind == Kind.READ_SLOWLY ? SoakEndpoint.largeBody(id) : "ok-" + id;
      boolean expected = complete ? body.equals(whole) : whole.startsWith(body);
      return expected
          ? ""
          : "received an unexpected body: "
              + body.substring(0, Math.min(MAX_SMALL_BODY_BYTES, body.length()));
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
