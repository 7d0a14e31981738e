package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.heatherspread.relay.call.ModelEndpoints.Execution;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/**
 * Random plays of callers and faulty endpoints, checked by what the callers receive: a whole answer
 * of one execution, a prefix that is seen to be cut, or a failure of the relay. Set the system
 * properties {@code callSeeds} and {@code firstCallSeed} for other plays.
 */
class CallModelTest {
  private static final int SEEDS = Integer.getInteger("callSeeds", 2_000);
  private static final int FIRST_SEED = Integer.getInteger("firstCallSeed", 0);
  private static final int THREADS = 4;
  private static final int MAX_REPORTED = 10;
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String[] ROUTES = {
    "/read/", "/read/", "/write/", "/write/", "/write/", "/draft/", "/draft/", "/reply/", "/once/"
  };

  /** A request of a caller. */
  private record Sent(String id, String method, String route, int resumeAfter, boolean expects) {
    private boolean isRepeatable() {
      return route.equals("/read/") || route.equals("/draft/");
    }

    private String text() {
      List<String> lines = new ArrayList<>();
      lines.add(method + ' ' + route + "a HTTP/1.1");
      lines.add("Host: x.example");
      lines.add("Attempt-Id: " + id);
      lines.add("Authorization: Bearer " + RelayHarness.KEY);
      lines.add("Deadline-Remaining: 4000");
      if (resumeAfter >= 0) {
        lines.add("Last-Event-Id: " + resumeAfter);
      }
      if (expects) {
        lines.add("Expect: 100-continue");
      }
      String body = method.equals("POST") ? "request " + id : "";
      lines.add("Content-Length: " + body.length());
      return String.join("\r\n", lines) + "\r\n\r\n" + body;
    }
  }

  /** What a caller received for a request; {@code whole} unless it is seen to be cut. */
  private record Received(int status, Map<String, String> headers, String body, boolean whole) {}

  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

  /** One play. */
  private final class Play {
    private final long seed;
    private final SplittableRandom random;
    private final ModelEndpoints model;
    private final List<String> plan = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int requestCount;

    private Play(long seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
      this.model = new ModelEndpoints(seed);
    }

    private void run() throws Exception {
      FakeEndpoint[] endpoints = new FakeEndpoint[1 + random.nextInt(4)];
      try (RelayHarness harness = RelayHarness.start()) {
        for (int i = 0; i < endpoints.length; i++) {
          endpoints[i] = model.start();
        }
        harness.register(endpoints);
        int callers = 1 + random.nextInt(3);
        for (int i = 0; i < callers; i++) {
          playCaller(harness);
        }
      } finally {
        for (FakeEndpoint endpoint : endpoints) {
          if (endpoint != null) {
            endpoint.close();
          }
        }
      }
    }

    /** Sends requests on one connection, some of them ahead, until it is closed. */
    private void playCaller(RelayHarness harness) throws Exception {
      int rounds = 1 + random.nextInt(3);
      try (RelayHarness.Caller caller = harness.caller()) {
        caller.socket().setSoTimeout(TIMEOUT_MILLIS);
        for (int round = 0; round < rounds; round++) {
          List<Sent> sent = new ArrayList<>();
          StringBuilder text = new StringBuilder();
          int ahead = random.nextInt(3) == 0 ? 1 + random.nextInt(4) : 1;
          for (int i = 0; i < ahead; i++) {
            sent.add(drawRequest());
            text.append(sent.get(i).text());
          }
          int answersRead = random.nextInt(12) == 0 ? random.nextInt(ahead) : ahead;
          plan.add(sent + " answers read " + answersRead);
          boolean open = exchange(caller, text.toString(), sent, answersRead);
          if (!open || answersRead < ahead) {
            return;
          }
        }
      }
    }

    private Sent drawRequest() {
      String route = ROUTES[random.nextInt(ROUTES.length)];
      boolean isStream = !route.equals("/read/") && !route.equals("/write/");
      String method = route.equals("/write/") || random.nextInt(3) == 0 ? "POST" : "GET";
      boolean head = !isStream && random.nextInt(6) == 0;
      int resumeAfter = isStream && random.nextInt(4) == 0 ? random.nextInt(5) : -1;
      String id = "s" + seed + "r" + requestCount++;
      return new Sent(id, head ? "HEAD" : method, route, resumeAfter, random.nextInt(10) == 0);
    }

    private boolean exchange(RelayHarness.Caller caller, String text, List<Sent> sent, int answers)
        throws IOException {
      boolean open = true;
      try {
        caller.send(text);
        InputStream in = caller.socket().getInputStream();
        for (int i = 0; i < answers && open; i++) {
          Received received = read(in, sent.get(i).method().equals("HEAD"));
          if (received == null) {
            return false;
          }
          check(sent.get(i), received);
          open = received.whole() && !"close".equals(received.headers().get("connection"));
        }
      } catch (SocketTimeoutException e) {
        violations.add("no answer in time: " + sent);
        return false;
      } catch (SocketException e) {
        return false;
      }
      return open;
    }

    private void violate(String rule, Sent sent, Received received) {
      count("violation " + rule.replaceAll("\\d+", "N"));
      violations.add(
          rule
              + ": "
              + sent
              + "\n  received "
              + received.toString().replace("\n", "\\n").replace("\r", "\\r")
              + "\n  of executions "
              + model.executions(sent.id()));
    }

    private void check(Sent sent, Received received) {
      List<Execution> executions = model.executions(sent.id());
      long executed = executions.stream().filter(Execution::executed).count();
      if (!sent.isRepeatable() && !sent.route().equals("/once/") && executed > 1) {
        violate("MIXED executed more than once", sent, received);
      }
      String signature = received.headers().get("server-signature");
      boolean success = received.status() / 100 == 2;
      if (signature == null) {
        count("own failure " + received.status());
        checkFailure(sent, received, success, executed);
        return;
      }
      if (!success || sent.route().equals("/read/") || sent.route().equals("/write/")) {
        count("answer " + received.status());
        checkAnswer(sent, received, signature, executions);
        return;
      }
      if (received.status() != 200) {
        checkAnswer(sent, received, signature, executions);
        return;
      }
      count(received.whole() ? "stream" : "cut stream");
      checkStream(sent, received, executions);
    }

    private void count(String outcome) {
      outcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
    }

    private void checkFailure(Sent sent, Received received, boolean success, long executed) {
      if (success || !received.whole()) {
        violate("MIXED success or part of a failure without a signature", sent, received);
      }
      boolean promisesNoRun =
          received.status() == 503 || received.status() == 429 || received.status() == 408;
      if (promisesNoRun && executed > 0 && !sent.isRepeatable()) {
        violate("MIXED not run after a run", sent, received);
      }
    }

    private void checkAnswer(
        Sent sent, Received received, String signature, List<Execution> executions) {
      boolean isHead = sent.method().equals("HEAD");
      for (Execution execution : executions) {
        if (!execution.signature().equals(signature)) {
          continue;
        }
        if (execution.status() != received.status()) {
          violate("MIXED status " + execution.status() + " was answered", sent, received);
        }
        String body = isHead ? "" : execution.body();
        boolean isPrefix = body.startsWith(received.body());
        if (!isPrefix || (received.whole() && received.body().length() < body.length())) {
          violate("MIXED body", sent, received);
        }
        return;
      }
      violate("MIXED answer of no execution", sent, received);
    }

    private void checkStream(Sent sent, Received received, List<Execution> executions) {
      int next = Math.max(0, sent.resumeAfter()) + 1;
      int lastNumber = 0;
      int end = received.body().lastIndexOf("\n\n") + 2;
      String events = end < 2 ? "" : received.body().substring(0, end);
      if (end < 2 ? !received.body().isEmpty() : end < received.body().length()) {
        violate("ORDER part of an event", sent, received);
      }
      for (String event : events.isEmpty() ? new String[0] : events.split("\n\n")) {
        String prefix = "id: " + next + "\ndata: " + sent.id() + '/';
        String suffix = "/" + next;
        boolean isNext = event.startsWith(prefix) && event.endsWith(suffix);
        String middle =
            isNext ? event.substring(prefix.length(), event.length() - suffix.length()) : "";
        if (!middle.matches("\\d+") || Integer.parseInt(middle) < lastNumber) {
          violate("ORDER event " + next + " is not next", sent, received);
          return;
        }
        lastNumber = Integer.parseInt(middle);
        next++;
      }
      if (!received.whole()) {
        return;
      }
      Execution last = executions.get(lastNumber);
      List<Integer> lastEvents = last.eventIds();
      boolean endsWithLast =
          !lastEvents.isEmpty() && lastEvents.get(lastEvents.size() - 1) == next - 1;
      if (events.isEmpty() || !last.endsWhole() || !endsWithLast) {
        violate("ORDER cut stream ends as if complete", sent, received);
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0 && next != '\n') {
      line.write(next);
      next = in.read();
    }
    return next < 0 ? null : line.toString(StandardCharsets.UTF_8).stripTrailing();
  }

  /** Reads an answer; returns null if the connection ends before or within its head. */
  private static Received read(InputStream in, boolean isHead) throws IOException {
    String statusLine = line(in);
    if (statusLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon), header.substring(colon + 1).trim());
    }
    if (!statusLine.startsWith("HTTP/1.1 ")) {
      return new Received(200, headers, "not an answer: " + statusLine, true);
    }
    int status = Integer.parseInt(statusLine.substring(9, 12));
    if (status < 200) {
      return read(in, isHead);
    }
    if (isHead || status == 204) {
      return new Received(status, headers, "", true);
    }
    if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      byte[] body = in.readNBytes(length);
      return new Received(status, headers, text(body), body.length == length);
    }
    return readChunks(in, status, headers);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static Received readChunks(InputStream in, int status, Map<String, String> headers)
      throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      String size;
      byte[] chunk;
      try {
        size = line(in);
        if (size == null) {
          return new Received(status, headers, body.toString(), false);
        }
        chunk = in.readNBytes(Integer.parseInt(size, 16));
        line(in);
      } catch (SocketException e) {
        return new Received(status, headers, body.toString(), false);
      }
      if (chunk.length == 0) {
        return new Received(status, headers, body.toString(), true);
      }
      body.append(text(chunk));
    }
  }

  private void playSeeds(AtomicLong nextSeed, ConcurrentLinkedQueue<String> failures) {
    long end = (long) FIRST_SEED + SEEDS;
    for (long seed = nextSeed.getAndIncrement(); seed < end; seed = nextSeed.getAndIncrement()) {
      Play play = new Play(seed);
      try {
        play.run();
      } catch (Exception | AssertionError e) {
        play.violations.add("play failed: " + e);
      }
      if (!play.violations.isEmpty()) {
        failures.add("seed " + seed + " " + play.violations + "\nplan " + play.plan);
      }
    }
  }

  /** Silences the lines of each request, whose output would take most of the time. */
  @BeforeAll
  static void limitLogs() {
    setLogLevel(Level.WARN);
  }

  @AfterAll
  static void restoreLogs() {
    setLogLevel(null);
  }

  private static void setLogLevel(Level level) {
    ((Logger) LoggerFactory.getLogger("org.heatherspread.relay")).setLevel(level);
  }

  /** Callers get parts of two answers, another status or events out of order from no fault. */
  @Test
  void callersGetOneWholeAnswerOrVisibleFailure() throws Exception {
    AtomicLong nextSeed = new AtomicLong(FIRST_SEED);
    ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < THREADS; i++) {
      Thread thread = new Thread(() -> playSeeds(nextSeed, failures));
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    System.out.println(SEEDS + " plays, " + failures.size() + " failed, outcomes " + outcomes);
    assertThat(failures.stream().limit(MAX_REPORTED))
        .as("%s of %s plays", failures.size(), SEEDS)
        .isEmpty();
  }
}
