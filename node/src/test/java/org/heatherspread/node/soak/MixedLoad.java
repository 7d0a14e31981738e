package org.heatherspread.node.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.heatherspread.platform.FakePlatform;
import org.heatherspread.relay.FakeEndpoint;

/**
 * Endpoints of two services and callers that send a mix of prompts with short and long responses
 * and of plain requests. Each caller keeps its connection and sends one request at a time.
 * Thread-safe.
 */
final class MixedLoad implements AutoCloseable {
  /** Configuration with the routes of the requests. */
  static final String CONFIGURATION =
      """
      {"version": 1,
       "routes": [
         {"name": "draft", "hostname": "localhost", "prefix": "/draft/", "route-kind": "streaming",
          "service": "model", "timeout-ms": 10000, "max-attempts": 2, "priority": 1,
          "target-latency-ms": 600, "stream-resumption": true, "session-affinity": true},
         {"name": "tag", "hostname": "localhost", "prefix": "/tag/", "route-kind": "streaming",
          "service": "model", "timeout-ms": 2500, "max-attempts": 2, "priority": 2,
          "target-latency-ms": 400, "stream-resumption": true, "session-affinity": true},
         {"name": "reserve", "hostname": "localhost", "prefix": "/reserve/",
          "route-kind": "non_idempotent", "service": "plain", "timeout-ms": 800,
          "max-attempts": 1, "priority": 2, "target-latency-ms": 150},
         {"name": "read", "hostname": "localhost", "prefix": "/read/", "route-kind": "idempotent",
          "service": "plain", "timeout-ms": 800, "max-attempts": 2, "priority": 2,
          "target-latency-ms": 150}],
       "services": [{"name": "model", "connection-limit": 600},
         {"name": "plain", "connection-limit": 500}],
       "tenants": [
         {"name": "acme", "api-keys": ["key-0"], "requests-per-s": 4000000, "burst-size": 4000000,
          "measurement-unit": "tokens", "uncached-tokens": 100},
         {"name": "apex", "api-keys": ["key-1"], "requests-per-s": 4000000, "burst-size": 4000000,
          "measurement-unit": "tokens", "uncached-tokens": 100}]}
      """;

  private static final int KEYS = 2;
  private static final int PLAIN_ENDPOINTS = 5;
  private static final int PLAIN_WORK_MILLIS = 30;
  private static final int FIRST_EVENT_MILLIS = 60;
  private static final int EVENT_INTERVAL_MILLIS = 35;
  private static final int SOCKET_TIMEOUT_MILLIS = 15_000;
  private static final int PLAIN_RESPONSE_BYTES = 800;
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final String EVENT_DATA = "x".repeat(75);

  private static final int TOKENS_PER_EVENT = 6;

  /** Parts of a kind of prompt that many of its sessions share. */
  private static final int SHARED_PARTS = 3;

  private static final int RESERVATION_BYTES = 600;

  /** Share of the reservations among all requests; the rest are reads. */
  private static final double RESERVATION_SHARE = 0.19;

  private static final List<PromptKind> PROMPTS =
      List.of(
          new PromptKind("draft", 0.19, 42, 11_500, 512, 4_870, 6_610, 900),
          new PromptKind("draft", 0.17, 32, 830, 119, 79, 628, 800),
          new PromptKind("tag", 0.38, 3, 2_400, 341, 227, 1_800, 1_800));

  /**
   * A kind of prompt.
   *
   * @param share share among all requests
   * @param events length of its responses
   * @param sharedTokens tokens that prompts of several sessions share
   * @param sessionTokens tokens that the prompts of a session share
   * @param ownTokens tokens of each prompt alone
   * @param sessions number of sessions
   */
  private record PromptKind(
      String route,
      double share,
      int events,
      int bodyBytes,
      int sharedTokens,
      int sessionTokens,
      int ownTokens,
      int sessions) {}

  private final FakePlatform platform;
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();

  private MixedLoad(FakePlatform platform) {
    this.platform = platform;
  }

  /**
   * Starts endpoints, which register themselves.
   *
   * @param modelEndpoints number of endpoints for prompts
   */
  static MixedLoad start(FakePlatform platform, int modelEndpoints) throws IOException {
    MixedLoad load = new MixedLoad(platform);
    for (int i = 0; i < modelEndpoints + PLAIN_ENDPOINTS; i++) {
      load.endpoints.add(FakeEndpoint.start(load::respond));
    }
    DaemonThreads.start("heartbeats", load::writeRegistrations);
    return load;
  }

  /**
   * Starts callers of a daemon.
   *
   * @param callers number of connections
   * @param perSecond requests that all of them together send
   */
  void startCallers(int port, int callers, double perSecond, SplittableRandom random) {
    for (int i = 0; i < callers; i++) {
      SplittableRandom own = random.split();
      long intervalMillis = (long) (1_000 * callers / perSecond);
      DaemonThreads.start("caller-" + port + "-" + i, () -> call(port, intervalMillis, own));
    }
  }

  /** Returns the number of complete successful responses. */
  long answered() {
    return answered.get();
  }

  /** Returns the number of other responses and of requests without one. */
  long failed() {
    return failed.get();
  }

  @Override
  public void close() throws IOException {
    stopped.set(true);
    for (FakeEndpoint endpoint : endpoints) {
      endpoint.close();
    }
  }

  private void writeRegistrations() {
    try {
      while (!stopped.get()) {
        for (int i = 0; i < endpoints.size(); i++) {
          String service = i < PLAIN_ENDPOINTS ? "plain" : "model";
          platform.registerEndpoint(service + "-" + i, service, endpoints.get(i).port(), false);
          TimeUnit.MILLISECONDS.sleep(Math.max(1, HEARTBEAT_MILLIS / endpoints.size()));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void respond(FakeEndpoint.Request request, FakeEndpoint.Connection connection)
      throws Exception {
    String id = request.header("attempt-id");
    String events = request.header("events");
    if (events == null) {
      TimeUnit.MILLISECONDS.sleep(PLAIN_WORK_MILLIS);
      connection.respond(200, id, "x".repeat(PLAIN_RESPONSE_BYTES));
      return;
    }
    TimeUnit.MILLISECONDS.sleep(FIRST_EVENT_MILLIS);
    connection.startStream(id);
    int count = Integer.parseInt(events);
    for (int i = 1; i <= count; i++) {
      connection.sendChunk("id: " + i + "\ndata: " + EVENT_DATA + "\n\n");
      TimeUnit.MILLISECONDS.sleep(EVENT_INTERVAL_MILLIS);
    }
    connection.endStream();
  }

  /** Sends requests at the times of a fixed schedule, or later if a response takes longer. */
  private void call(int port, long intervalMillis, SplittableRandom random) {
    long next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(random.nextLong(intervalMillis));
    try {
      while (!stopped.get()) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
          socket.setTcpNoDelay(true);
          socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
          InputStream in = new BufferedInputStream(socket.getInputStream());
          boolean open = true;
          while (open && !stopped.get()) {
            long waitNanos = next - System.nanoTime();
            TimeUnit.NANOSECONDS.sleep(Math.max(0, waitNanos));
            next =
                Math.max(next, System.nanoTime()) + TimeUnit.MILLISECONDS.toNanos(intervalMillis);
            socket.getOutputStream().write(request(random).getBytes(StandardCharsets.US_ASCII));
            open = readResponse(in);
          }
        } catch (IOException e) {
          failed.incrementAndGet();
          TimeUnit.MILLISECONDS.sleep(intervalMillis);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String request(SplittableRandom random) {
    double kind = random.nextDouble();
    String id = Long.toHexString(random.nextLong());
    for (PromptKind prompt : PROMPTS) {
      if (kind < prompt.share) {
        return prompt(prompt, id, random);
      }
      kind -= prompt.share;
    }
    return kind < RESERVATION_SHARE
        ? head("POST", "reserve", id, random) + body(RESERVATION_BYTES)
        : head("GET", "read", id, random) + "\r\n";
  }

  private static String prompt(PromptKind kind, String id, SplittableRandom random) {
    int answerTokens = kind.events * TOKENS_PER_EVENT;
    int promptTokens = kind.sharedTokens + kind.sessionTokens + kind.ownTokens;
    int sharedId = kind.sharedTokens + random.nextInt(SHARED_PARTS);
    int sessionId = random.nextInt(kind.sessions);
    return head("POST", kind.route, id, random)
        + "Events: %d\r\nModel-Name: m\r\nToken-Counts: %d,%d\r\nOutput-Length-Hint: %d\r\n"
            .formatted(kind.events, promptTokens, answerTokens, answerTokens)
        + "Prompt-Prefix: a%x:%d,b%x%x:%d,%s:%d\r\n"
            .formatted(
                sharedId,
                kind.sharedTokens,
                kind.sharedTokens,
                sessionId,
                kind.sessionTokens,
                id,
                kind.ownTokens)
        + body(kind.bodyBytes);
  }

  private static String body(int bytes) {
    return "Content-Length: " + bytes + "\r\n\r\n" + "b".repeat(bytes);
  }

  private static String head(String method, String route, String id, SplittableRandom random) {
    return "%s /%s/2f HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: %s\r\n"
            .formatted(method, route, id)
        + "Deadline-Remaining: 9000\r\nAuthorization: Bearer key-%d\r\n"
            .formatted(random.nextInt(KEYS));
  }

  /** Reads a response; returns false if the connection can't be used again. */
  private boolean readResponse(InputStream in) throws IOException {
    String status = line(in);
    int length = 0;
    boolean chunked = false;
    boolean open = true;
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      String lower = header.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(lower.indexOf(':') + 1).trim());
      }
      chunked |= lower.startsWith("transfer-encoding:");
      open &= !lower.equals("connection: close");
    }
    if (chunked) {
      int size = Integer.parseInt(line(in), 16);
      while (size > 0) {
        in.skipNBytes(size + 2L);
        size = Integer.parseInt(line(in), 16);
      }
      line(in);
    } else {
      in.skipNBytes(length);
    }
    (status.contains(" 200 ") ? answered : failed).incrementAndGet();
    return open;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new IOException("connection closed after " + line);
      }
      if (next != '\r') {
        line.append((char) next);
      }
      next = in.read();
    }
    return line.toString();
  }
}
