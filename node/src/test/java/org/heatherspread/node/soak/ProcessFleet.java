package org.heatherspread.node.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.heatherspread.platform.FakePlatform;
import org.heatherspread.relay.FakeEndpoint;

/**
 * Daemon processes and model endpoints, which requests with a crash marker end. Each request names
 * the daemon that it is sent to. Confined to one thread, but for the senders of requests.
 */
final class ProcessFleet implements AutoCloseable {
  /** Text in the body of a request that ends each endpoint that begins its answer. */
  private static final String CRASH_MARKER = "crash-marker";

  /** Id of a segment that ends each endpoint that begins an answer to a prompt with it. */
  private static final String CRASHING_SEGMENT = "dead";

  /** Time after crashes in which daemons may not know of all of them. */
  static final long PROPAGATION_MILLIS = 3_000;

  /** Number of times that what crashes endpoints may be sent to them after this time. */
  static final int PERMITTED_EXECUTIONS = 3;

  private static final int MIN_CRASHES = 3;
  private static final long MAX_QUIET_MILLIS = 3_000;
  static final long GRACE_MILLIS = 2_000;
  private static final long READY_TIMEOUT_MILLIS = 40_000;
  private static final String SHARED_SEGMENT = "a1:50";
  private static final String KEY = "key-1";

  /** Configuration with one streaming route to the service of all endpoints. */
  static final String CONFIGURATION =
      """
      {"version": 1,
       "routes": [{"name": "draft", "hostname": "localhost", "prefix": "/draft/",
         "route-kind": "streaming", "service": "model", "timeout-ms": 4000, "max-attempts": 2,
         "stream-resumption": true}],
       "services": [{"name": "model", "connection-limit": 200}],
       "tenants": [{"name": "acme", "api-keys": ["key-1"]}]}
      """;

  private final FakePlatform platform;
  private final RequestHistory history = new RequestHistory();
  private final List<SoakDaemon> daemons = new ArrayList<>();
  private final List<SoakEndpoint> endpoints = new ArrayList<>();
  private final AtomicInteger sentCount = new AtomicInteger();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();

  private ProcessFleet(FakePlatform platform) {
    this.platform = platform;
  }

  /** Starts the processes and waits until every daemon accepts requests. */
  static ProcessFleet start(int daemonCount, int endpointCount, Path folder) throws Exception {
    return start(daemonCount, endpointCount, 1, folder);
  }

  /**
   * Starts the processes and waits until every daemon accepts requests.
   *
   * @param domainCount number of failure domains, each of which reads the store by itself
   */
  static ProcessFleet start(int daemonCount, int endpointCount, int domainCount, Path folder)
      throws Exception {
    ProcessFleet fleet = new ProcessFleet(FakePlatform.start());
    fleet.platform.write(FakePlatform.OPERATORS, FakePlatform.CONFIGURATION_KEY, CONFIGURATION);
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < endpointCount; i++) {
      SoakEndpoint endpoint =
          SoakEndpoint.start(
              "model-" + i, "model", "v1", fleet.history, random.split(), fleet.platform);
      endpoint.setCrashTrigger(ProcessFleet::crashesEndpoints);
      fleet.endpoints.add(endpoint);
    }
    for (int i = 0; i < daemonCount; i++) {
      SoakDaemon daemon =
          new SoakDaemon(
              "daemon-" + i,
              "z" + i % domainCount,
              folder,
              fleet.platform.address().port(),
              GRACE_MILLIS);
      daemon.start();
      fleet.daemons.add(daemon);
    }
    for (int i = 0; i < daemonCount; i++) {
      fleet.awaitReady(i);
    }
    return fleet;
  }

  private static boolean crashesEndpoints(FakeEndpoint.Request request) {
    String prompt = request.header("prompt-prefix");
    return request.body().contains(CRASH_MARKER)
        || prompt != null && prompt.contains(CRASHING_SEGMENT + ":");
  }

  FakePlatform platform() {
    return platform;
  }

  /** Returns a daemon process. */
  SoakDaemon daemon(int index) {
    return daemons.get(index);
  }

  List<SoakEndpoint> endpoints() {
    return endpoints;
  }

  /** Waits until a daemon answers a request. */
  void awaitReady(int daemon) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
    int status = 0;
    while (status != 200) {
      status = send(daemon, "probe", "probe-" + sentCount.incrementAndGet(), "");
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(
            "daemon-" + daemon + " is not ready: " + status + ", " + daemons.get(daemon).logTail());
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Kills a daemon and starts it again. */
  void restart(int daemon) throws Exception {
    daemons.get(daemon).kill();
    daemons.get(daemon).start();
    awaitReady(daemon);
  }

  /** Kills all daemons at the same time and starts them again. */
  void restartAll() throws Exception {
    for (SoakDaemon daemon : daemons) {
      daemon.kill();
    }
    for (SoakDaemon daemon : daemons) {
      daemon.start();
    }
    for (int i = 0; i < daemons.size(); i++) {
      awaitReady(i);
    }
  }

  /** Waits until all endpoints are running and registered. */
  void awaitEndpoints() throws InterruptedException {
    while (endpoints.stream().anyMatch(SoakEndpoint::isCrashed)) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private HttpRequest.Builder request(int daemon, String id, String body) {
    URI uri = URI.create("http://localhost:" + daemons.get(daemon).callers() + "/draft/x");
    return HttpRequest.newBuilder(uri)
        .header("Authorization", "Bearer " + KEY)
        .header("Attempt-Id", id)
        .header("Deadline-Remaining", "3500")
        .timeout(Duration.ofSeconds(5))
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  /**
   * Sends a request and returns the status of its answer, 0 if there was none.
   *
   * @param prompt value of the header that lists the parts of the prompt, empty for none
   */
  int send(int daemon, String body, String id, String prompt) throws InterruptedException {
    HttpRequest.Builder request = request(daemon, id, body);
    if (!prompt.isEmpty()) {
      request.header("Token-Counts", "100,20").header("Prompt-Prefix", prompt);
    }
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      // The daemon is down, or the answer was cut.
      return 0;
    }
  }

  /**
   * What a caller got of a stream.
   *
   * @param status status of the answer, 0 if there was none
   * @param versions software version of the endpoint that wrote each event
   */
  record ReceivedStream(int status, List<String> versions) {}

  /**
   * Sends a request for a stream and closes the connection after some of its events.
   *
   * @param headers names and values of further headers
   */
  ReceivedStream receive(int daemon, String id, int maxEvents, String... headers)
      throws InterruptedException {
    HttpRequest.Builder request = request(daemon, id, "stream");
    if (headers.length > 0) {
      request.headers(headers);
    }
    List<String> versions = new ArrayList<>();
    int status = 0;
    try {
      HttpResponse<InputStream> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
      status = response.statusCode();
      try (BufferedReader lines =
          new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
        String line = lines.readLine();
        while (line != null) {
          if (line.startsWith(": ")) {
            versions.add(line.substring(2));
          }
          if (versions.size() >= maxEvents) {
            break;
          }
          line = lines.readLine();
        }
      }
    } catch (IOException e) {
      // The daemon is down, or the stream was cut; what was received counts.
    }
    return new ReceivedStream(status, versions);
  }

  /** Sends a request to a daemon and closes the connection without waiting for the answer. */
  void sendAndLeave(int daemon, String id) throws IOException {
    String request =
        "POST /draft/x HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer %s\r\n"
            + "Attempt-Id: %s\r\nDeadline-Remaining: 3500\r\nContent-Length: 0\r\n\r\n";
    try (Socket socket = new Socket("127.0.0.1", daemons.get(daemon).callers())) {
      String text = request.formatted(KEY, id);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
  }

  /** Suspends a daemon while an action runs. */
  void pause(int daemon, PausedAction whilePaused) throws Exception {
    daemons.get(daemon).signal("STOP");
    try {
      whilePaused.run();
    } finally {
      daemons.get(daemon).signal("CONT");
    }
  }

  /** Is carried out while a daemon is suspended. */
  interface PausedAction {
    void run() throws Exception;
  }

  /** Sends a request to a daemon and returns its status. */
  interface Sender {
    int send(int daemon) throws InterruptedException;
  }

  /** Sends requests to each daemon with several threads until stopped. */
  void startSenders(int threadsPerDaemon, AtomicBoolean stopped, Sender sender) {
    for (int i = 0; i < threadsPerDaemon * daemons.size(); i++) {
      int daemon = i % daemons.size();
      DaemonThreads.start("sound-" + i, () -> sendUntilStopped(daemon, stopped, sender));
    }
  }

  private static void sendUntilStopped(int daemon, AtomicBoolean stopped, Sender sender) {
    try {
      while (!stopped.get()) {
        sender.send(daemon);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends requests to the daemons in turn; returns how many were answered with status 200. */
  int countServed(int requests, Sender sender) throws InterruptedException {
    int served = 0;
    for (int i = 0; i < requests; i++) {
      served += sender.send(i % daemons.size()) == 200 ? 1 : 0;
    }
    return served;
  }

  /**
   * Sends crashing requests to the daemons in turn until as many have reached endpoints, or until
   * none has done so for longer than endpoints are away, as they are refused, but not less than
   * {@link #MIN_CRASHES}. Then waits until all daemons can know of the crashes.
   */
  void crashEndpoints(int crashes, Sender sender) throws InterruptedException {
    long quietSinceNanos = System.nanoTime();
    long executions = 0;
    for (int i = 0; executions < crashes; i++) {
      sender.send(i % daemons.size());
      TimeUnit.MILLISECONDS.sleep(200);
      long known = executions;
      executions = crashingExecutions();
      if (executions > known) {
        quietSinceNanos = System.nanoTime();
      }
      long quietMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - quietSinceNanos);
      if (executions >= MIN_CRASHES && quietMillis >= MAX_QUIET_MILLIS) {
        break;
      }
    }
    TimeUnit.MILLISECONDS.sleep(PROPAGATION_MILLIS);
    awaitEndpoints();
  }

  /** Sends crashing requests to every daemon twice; returns how many endpoints began to answer. */
  long repeatCrashing(Sender sender) throws InterruptedException {
    long before = crashingExecutions();
    for (int i = 0; i < 2 * daemons.size(); i++) {
      sender.send(i % daemons.size());
      awaitEndpoints();
      TimeUnit.MILLISECONDS.sleep(100);
    }
    return crashingExecutions() - before;
  }

  /** Sends the same sound request to a daemon. */
  int sendSound(int daemon) throws InterruptedException {
    return send(daemon, "sound", "sound-" + sentCount.incrementAndGet(), "");
  }

  /** Sends the same crashing request to a daemon. */
  int sendCrashing(int daemon) throws InterruptedException {
    return send(daemon, CRASH_MARKER, "crash-" + sentCount.incrementAndGet(), "");
  }

  /**
   * Sends a request that no other equals, with a crashing segment before or after the segment that
   * sound requests have as well.
   */
  int sendCrashingPrompt(int daemon) throws InterruptedException {
    int number = sentCount.incrementAndGet();
    String prompt =
        number % 2 == 0
            ? SHARED_SEGMENT + "," + CRASHING_SEGMENT + ":20,"
            : CRASHING_SEGMENT + ":20," + SHARED_SEGMENT + ",";
    return send(daemon, "prompt-" + number, "crash-" + number, prompt + ownSegment(number));
  }

  /** Sends a request that no other equals, whose prompt begins with the shared segment. */
  int sendSoundPrompt(int daemon) throws InterruptedException {
    int number = sentCount.incrementAndGet();
    String prompt = SHARED_SEGMENT + "," + ownSegment(number);
    return send(daemon, "prompt-" + number, "sound-" + number, prompt);
  }

  private static String ownSegment(int number) {
    return Integer.toHexString(number) + "f:30";
  }

  /** Returns how often crashing requests have reached endpoints. */
  long crashingExecutions() {
    return executions("crash-");
  }

  /** Returns how often requests whose ids start with a prefix have reached endpoints. */
  long executions(String idPrefix) {
    return history.executionCount(idPrefix);
  }

  @Override
  public void close() throws IOException {
    for (SoakDaemon daemon : daemons) {
      daemon.close();
    }
    for (SoakEndpoint endpoint : endpoints) {
      endpoint.close();
    }
    platform.close();
  }
}
