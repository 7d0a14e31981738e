package org.heatherspread.node.soak;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.heatherspread.platform.FakePlatform;
import org.heatherspread.relay.FakeEndpoint;

/**
 * Endpoint behind a proxy that registers itself and fails a configurable fraction of its requests:
 * it refuses them, resets connections before or within the response, sends bytes without end, or
 * sends a further response that belongs to another request. Some of its responses end with their
 * connections. A request that matches the crash trigger ends the endpoint as soon as its answer
 * begins; a new incarnation starts at the same address later. It may name a limit of requests per
 * second in its responses, and records the requests that reach it meanwhile. It may refuse requests
 * and copy the refusals. Thread-safe.
 */
final class SoakEndpoint implements AutoCloseable {
  /** Number of events in a complete stream. */
  static final int EVENT_COUNT = 6;

  /** Limit of the bodies of requests that the configuration names. */
  static final int MAX_BODY_BYTES = 2 << 20;

  /** Header of requests that describes their bodies by {@link #checkValue}. */
  static final String BODY_CHECK = "Body-Check";

  /** Header of requests with the number of earlier attempts that had the same id. */
  static final String REPETITION = "Repetition";

  /** Start of the signatures of further answers to a request, which no caller may receive. */
  static final String LATE_SIGNATURE = "late-";

  private static final int LARGE_RESPONSE_BYTES = 5 << 20;
  private static final int MAX_LATE_MILLIS = 80;

  /** Time after which no request may reach an endpoint that said that it leaves. */
  private static final long LEAVING_NANOS = 2_000_000_000L;

  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

  /** Time after its last heartbeat at which the registration of a crashed endpoint expires. */
  private static final long REGISTRATION_LIFETIME_MILLIS = 3 * HEARTBEAT_INTERVAL_MILLIS;

  private static final int MAX_WORK_MILLIS = 30;
  private static final int EVENT_INTERVAL_MILLIS = 25;
  private static final double DELIMITED_BY_CLOSE_PROBABILITY = 0.1;
  private static final String ENDLESS_BLOCK = "x".repeat(1 << 14);

  private final String name;
  private final String service;
  private final RequestHistory history;
  private final SplittableRandom random;
  private final FakePlatform platform;
  private final FakeEndpoint endpoint;
  private final FaultProxy proxy;
  private volatile double faultShare;
  private volatile double stutterShare;
  private volatile long leftAtNanos = Long.MAX_VALUE;
  private volatile boolean draining;
  private volatile boolean closed;
  private volatile boolean crashed;
  private volatile String id;
  private volatile String version;
  private volatile long startedAtMillis = 1;
  private volatile Predicate<FakeEndpoint.Request> crashTrigger = request -> false;
  private volatile long restartMillis = 1_000;
  private volatile boolean keepsId;
  private volatile NamedLimit namedLimit = NamedLimit.NONE;

  /** Refusals that are copied, null if there are none. */
  private volatile CopiedRefusals copiedRefusals;

  private final AtomicInteger replacements = new AtomicInteger();
  private int incarnation;

  private SoakEndpoint(
      String name,
      String service,
      String version,
      RequestHistory history,
      SplittableRandom random,
      FakePlatform platform)
      throws IOException {
    this.name = name;
    this.id = name;
    this.service = service;
    this.version = version;
    this.history = history;
    this.random = random;
    this.platform = platform;
    this.endpoint = FakeEndpoint.start(this::handle);
    this.proxy = FaultProxy.start(endpoint.port(), 100);
  }

  /**
   * Starts an endpoint.
   *
   * @param version version of its software, which each event names
   */
  static SoakEndpoint start(
      String id,
      String service,
      String version,
      RequestHistory history,
      SplittableRandom random,
      FakePlatform platform)
      throws IOException {
    SoakEndpoint endpoint = new SoakEndpoint(id, service, version, history, random, platform);
    DaemonThreads.start("heartbeat-" + id, endpoint::sendHeartbeats);
    return endpoint;
  }

  String service() {
    return service;
  }

  FaultProxy proxy() {
    return proxy;
  }

  /** Sets the version of the software, which the events of all streams name from now on. */
  void setVersion(String next) {
    version = next;
    register();
  }

  /** Sets the fraction of requests that fail. */
  void setFaultShare(double share) {
    faultShare = share;
  }

  /** Sets the fraction of requests with answers that are repeated, cut, or do not go on. */
  void setStutterShare(double share) {
    stutterShare = share;
  }

  /** Returns the value of {@link #BODY_CHECK} for a body. */
  static String checkValue(String body) {
    return body.length() + "/" + body.hashCode();
  }

  /** Returns the response body of requests whose path ends with "download". */
  static String largeBody(String attemptId) {
    String line = "ok-" + attemptId + '\n';
    return line.repeat(LARGE_RESPONSE_BYTES / line.length());
  }

  /** Says in all responses that the endpoint leaves, and no longer renews its registration. */
  void leaveByResponses() {
    leftAtNanos = System.nanoTime();
  }

  /** Deletes the registration. */
  synchronized void deleteRegistration() {
    platform.delete(FakePlatform.ENDPOINTS, id);
  }

  /** Starts at once as another version under the same id and address. */
  void replaceInPlace(String nextVersion) throws IOException {
    proxy.replaceProcess(
        () -> {
          replacements.incrementAndGet();
          version = nextVersion;
          startedAtMillis = System.currentTimeMillis();
        });
    register();
  }

  /** Sets the requests that end the endpoint when it begins their answer. */
  void setCrashTrigger(Predicate<FakeEndpoint.Request> trigger) {
    crashTrigger = trigger;
  }

  /**
   * Sets how the endpoint starts again after a crash.
   *
   * @param delayMillis time from the crash to the next start
   * @param sameId whether it registers under the same id
   */
  void setRestart(long delayMillis, boolean sameId) {
    restartMillis = delayMillis;
    keepsId = sameId;
  }

  /** Names a limit of requests per second in all responses from now on. */
  NamedLimit nameLimit(double requestsPerSecond) {
    namedLimit = NamedLimit.of(requestsPerSecond);
    return namedLimit;
  }

  /** Returns the limit that the endpoint names. */
  NamedLimit namedLimit() {
    return namedLimit;
  }

  /** Names no limit any longer. */
  void dropLimit() {
    namedLimit = NamedLimit.NONE;
  }

  /** Refuses some of the requests, and copies all refusals; a second call has no effect. */
  void copyRefusals(SplittableRandom choices) {
    if (copiedRefusals == null) {
      copiedRefusals = new CopiedRefusals(choices);
    }
  }

  /** Refuses no requests any longer; copies of earlier refusals may still be written. */
  void endCopiedRefusals() {
    copiedRefusals = null;
  }

  /** Ends all connections and refuses new ones until the next incarnation starts. */
  void crash() throws IOException {
    end(restartMillis, keepsId);
  }

  /**
   * Ends, and starts again at the same address under a new id. The former registration stays until
   * it expires.
   */
  void replaceUnderNewId(long delayMillis) throws IOException {
    end(delayMillis, false);
  }

  private void end(long delayMillis, boolean sameId) throws IOException {
    synchronized (this) {
      if (crashed || closed) {
        return;
      }
      crashed = true;
    }
    proxy.shutDown();
    DaemonThreads.start("restart-" + id, () -> restart(delayMillis, sameId));
  }

  boolean isCrashed() {
    return crashed;
  }

  private void restart(long delayMillis, boolean sameId) {
    String crashedId = id;
    try {
      TimeUnit.MILLISECONDS.sleep(delayMillis);
      synchronized (this) {
        if (closed) {
          return;
        }
        incarnation++;
        id = sameId ? crashedId : name + '.' + incarnation;
        startedAtMillis = System.currentTimeMillis();
        proxy.restart();
        crashed = false;
        register();
      }
      if (!id.equals(crashedId)) {
        TimeUnit.MILLISECONDS.sleep(Math.max(0, REGISTRATION_LIFETIME_MILLIS - delayMillis));
        platform.delete(FakePlatform.ENDPOINTS, crashedId);
      }
    } catch (IOException e) {
      history.recordViolation("an endpoint could not be restarted: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Registers as draining and closes the endpoint after the notice period. */
  void drainAndClose(long noticeMillis) throws InterruptedException, IOException {
    draining = true;
    register();
    TimeUnit.MILLISECONDS.sleep(noticeMillis);
    close();
  }

  private void sendHeartbeats() {
    while (!closed) {
      register();
      try {
        TimeUnit.MILLISECONDS.sleep(HEARTBEAT_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void register() {
    if (!closed && !crashed && leftAtNanos == Long.MAX_VALUE) {
      platform.registerEndpoint(id, service, proxy.port(), draining, startedAtMillis, version);
    }
  }

  private synchronized double nextDouble() {
    return random.nextDouble();
  }

  private void handle(FakeEndpoint.Request request, FakeEndpoint.Connection connection)
      throws Exception {
    // The script keeps the requests, whose bodies may be large.
    endpoint.requests().clear();
    NamedLimit limit = namedLimit;
    limit.recordArrival();
    String attemptId = request.header("attempt-id");
    if (attemptId == null) {
      history.recordViolation("an endpoint received a request without an id: " + request);
      connection.reset();
      return;
    }
    String expectedInstance = request.header("expected-instance");
    CopiedRefusals copies = copiedRefusals;
    if (expectedInstance != null && !expectedInstance.equals(id)) {
      if (copies != null) {
        copies.refuseMisdirected(attemptId, connection);
        return;
      }
      refuse(421, connection);
      return;
    }
    String check = request.header(BODY_CHECK);
    if (check != null && !check.equals(checkValue(request.body()))) {
      history.recordViolation("an endpoint received another body than was sent: " + attemptId);
    }
    if (copies != null && copies.refuses(attemptId)) {
      copies.refuse(attemptId, connection, limit.headers());
      return;
    }
    boolean faulty = nextDouble() < faultShare;
    double faultKind = nextDouble();
    if (faulty && faultKind < 0.25) {
      refuse(503, connection, limit.headers());
      return;
    }
    String repetition = request.header(REPETITION);
    String attempt =
        RequestHistory.attempt(attemptId, repetition == null ? 0 : Integer.parseInt(repetition));
    history.recordExecution(
        new RequestHistory.Execution(
            attempt,
            service,
            String.valueOf(request.header("tenant-name")),
            request.header("authorization") != null));
    if (System.nanoTime() - leftAtNanos > LEAVING_NANOS) {
      history.recordLateArrival(attempt);
    }
    TimeUnit.MILLISECONDS.sleep((long) (nextDouble() * MAX_WORK_MILLIS));
    if (copies != null) {
      TimeUnit.MILLISECONDS.sleep(copies.additionalRunMillis(attemptId));
    }
    synchronized (connection.socket()) {
      answer(request, connection, limit, faulty, faultKind);
    }
  }

  private static void refuse(int status, FakeEndpoint.Connection connection, String... headers)
      throws IOException {
    String head = "HTTP/1.1 " + status + " X\r\nRequest-Not-Executed: 1\r\nContent-Length: 0\r\n";
    synchronized (connection.socket()) {
      connection.send(head + FakeEndpoint.Connection.lines(headers) + "\r\n");
    }
  }

  private void answer(
      FakeEndpoint.Request request,
      FakeEndpoint.Connection connection,
      NamedLimit limit,
      boolean faulty,
      double faultKind)
      throws Exception {
    String attemptId = request.header("attempt-id");
    if (crashTrigger.test(request)) {
      beginAnswerAndCrash(request, connection);
      return;
    }
    if (faulty && faultKind < 0.4) {
      connection.reset();
      return;
    }
    if (faulty && faultKind < 0.5) {
      sendWithoutEnd(attemptId, connection);
      return;
    }
    if (stutterShare > 0 && nextDouble() < stutterShare) {
      stutter(request, connection);
      return;
    }
    if (request.requestLine().contains("/bulk/download")) {
      connection.respond(200, attemptId, largeBody(attemptId), limit.headers());
      return;
    }
    boolean delimitedByClose = nextDouble() < DELIMITED_BY_CLOSE_PROBABILITY;
    if (request.requestLine().contains("/draft/") || request.requestLine().contains("/reply/")) {
      sendStream(request, connection, faulty, delimitedByClose);
      return;
    }
    if (faulty && faultKind < 0.75) {
      connection.send(
          "HTTP/1.1 200 X\r\nAttempt-Id: " + attemptId + "\r\nContent-Length: 50\r\n\r\n");
      connection.reset();
      return;
    }
    if (delimitedByClose) {
      connection.send(head(attemptId, limit) + "\r\nok-" + attemptId);
      connection.socket().close();
      return;
    }
    if (leftAtNanos != Long.MAX_VALUE) {
      connection.respond(200, attemptId, "ok-" + attemptId, "Server-Leaving: 1");
      return;
    }
    connection.respond(200, attemptId, "ok-" + attemptId, limit.headers());
    if (faulty) {
      connection.respond(200, "other", "of-another-request");
    }
  }

  private static String head(String attemptId, NamedLimit limit) {
    return "HTTP/1.1 200 X\r\nAttempt-Id: "
        + attemptId
        + "\r\nServer-Signature: sig\r\n"
        + FakeEndpoint.Connection.lines(limit.headers());
  }

  /** Sends a head or a body without end until the peer closes the connection. */
  private void sendWithoutEnd(String attemptId, FakeEndpoint.Connection connection)
      throws IOException {
    boolean endlessHead = nextDouble() < 0.5;
    connection.send(head(attemptId, namedLimit) + (endlessHead ? "" : "\r\n"));
    while (true) {
      connection.send(endlessHead ? "X-Filler: " + ENDLESS_BLOCK + "\r\n" : ENDLESS_BLOCK);
    }
  }

  private void stutter(FakeEndpoint.Request request, FakeEndpoint.Connection connection)
      throws Exception {
    String attemptId = request.header("attempt-id");
    String line = request.requestLine();
    boolean stream = line.contains("/draft/") || line.contains("/reply/");
    int form = (int) (nextDouble() * 7);
    if (stream && form < 5) {
      sendStutteringStream(request, connection, form);
      return;
    }
    String idLine = "Attempt-Id: " + attemptId + "\r\n";
    switch (form) {
      case 0 -> connection.respond(200, attemptId, "ok-" + attemptId);
      case 1 -> connection.respond(500, attemptId, "failed");
      case 2 -> connection.send("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
      case 3 -> {
        connection.send("HTTP/1.1 200 X\r\n" + idLine + "Server-Sig");
        connection.socket().close();
        return;
      }
      case 4 -> {
        connection.send("HTTP/1.1 200 X\r\n" + idLine + "Content-Length: 50\r\n\r\nok-");
        connection.socket().close();
        return;
      }
      case 5 -> {
        connection.send("HTTP/1.1 200 X\r\n" + idLine + "Server-Sig");
        TimeUnit.MILLISECONDS.sleep(MAX_LATE_MILLIS);
        connection.reset();
        return;
      }
      default -> {
        sendWithoutEnd(attemptId, connection);
        return;
      }
    }
    TimeUnit.MILLISECONDS.sleep((long) (nextDouble() * MAX_LATE_MILLIS));
    int status = nextDouble() < 0.5 ? 200 : 500;
    String head = "HTTP/1.1 " + status + " X\r\n" + (nextDouble() < 0.8 ? idLine : "");
    String late = "Server-Signature: " + LATE_SIGNATURE + attemptId;
    connection.send(head + late + "\r\nContent-Length: 4\r\n\r\nlate");
  }

  /** Breaks a stream that begins; answers a resumption with something that does not go on. */
  private void sendStutteringStream(
      FakeEndpoint.Request request, FakeEndpoint.Connection connection, int form) throws Exception {
    String attemptId = request.header("attempt-id");
    String lastEventId = request.header("last-event-id");
    if (lastEventId == null) {
      connection.startStream(attemptId);
      for (int event = 1; event <= 1 + form; event++) {
        connection.sendChunk(event(event));
        TimeUnit.MILLISECONDS.sleep(EVENT_INTERVAL_MILLIS);
      }
      connection.reset();
      return;
    }
    int next = Integer.parseInt(lastEventId) + 1;
    if (form == 0) {
      connection.respond(500, attemptId, "failed");
      return;
    }
    connection.startStream(attemptId);
    int first =
        switch (form) {
          case 1 -> next - 1;
          case 2 -> next + 1;
          case 3 -> 1;
          default -> EVENT_COUNT + 1;
        };
    for (int event = first; event <= EVENT_COUNT; event++) {
      connection.sendChunk(event(event));
    }
    connection.endStream();
  }

  private String event(int number) {
    return "id: " + number + "\ndata: piece-" + number + "\n: " + version + "\n\n";
  }

  /** Crashes before the answer, after its head, or within its first event. */
  private void beginAnswerAndCrash(FakeEndpoint.Request request, FakeEndpoint.Connection connection)
      throws IOException {
    double progress = nextDouble();
    if (progress > 0.3) {
      connection.startStream(request.header("attempt-id"), namedLimit.headers());
    }
    if (progress > 0.6) {
      connection.sendChunk("id: 1\nda");
    }
    crash();
  }

  private void sendStream(
      FakeEndpoint.Request request,
      FakeEndpoint.Connection connection,
      boolean faulty,
      boolean delimitedByClose)
      throws Exception {
    String lastEventId = request.header("last-event-id");
    int first = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
    TextSender sender = delimitedByClose ? connection::send : connection::sendChunk;
    if (delimitedByClose) {
      connection.send(head(request.header("attempt-id"), namedLimit) + "\r\n");
    } else {
      connection.startStream(request.header("attempt-id"), namedLimit.headers());
    }
    boolean interrupted = false;
    final int startedAfterReplacements = replacements.get();
    for (int event = first; event <= EVENT_COUNT && !interrupted; event++) {
      interrupted = faulty && event > first + EVENT_COUNT / 2;
      String currentVersion = version;
      if (replacements.get() != startedAfterReplacements) {
        connection.reset();
        return;
      }
      String piece = "ta: piece-" + event + "\n: " + currentVersion + "\n\n";
      sender.send("id: " + event + "\nda" + (interrupted ? "" : piece));
      TimeUnit.MILLISECONDS.sleep(interrupted ? 0 : EVENT_INTERVAL_MILLIS);
    }
    if (delimitedByClose) {
      connection.socket().close();
    } else if (interrupted) {
      connection.reset();
    } else {
      connection.endStream();
    }
  }

  /** Sends text as a part of a response. */
  private interface TextSender {
    void send(String text) throws IOException;
  }

  @Override
  public void close() throws IOException {
    synchronized (this) {
      closed = true;
      platform.delete(FakePlatform.ENDPOINTS, id);
    }
    proxy.close();
    endpoint.close();
  }
}
