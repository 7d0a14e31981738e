package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.heatherspread.platform.FakePlatform;
import org.heatherspread.relay.FakeEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Callers of daemons that have lost the path to all endpoints are served as often as those of the
 * others. Each daemon reaches each endpoint through a proxy of its own.
 */
class CutOffDaemonTest {
  private static final int DAEMONS = 4;
  private static final int CUT_DAEMONS = 2;
  private static final int ENDPOINTS = 4;
  private static final int CALLERS_PER_DAEMON = 2;

  /** Callers that come when the partition begins, so that daemons need new connections. */
  private static final int LATE_CALLERS_PER_DAEMON = 6;

  private static final long GRACE_MILLIS = 2_000;
  private static final long PAUSE_MILLIS = 40;
  private static final long ENDPOINT_MILLIS = 50;

  /** Time after the begin of a partition in which requests may fail. */
  private static final long NOTICE_MILLIS = 3_000;

  private static final long MEASURE_MILLIS = 5_000;

  /** How often callers of such daemons must be served, compared with those of the others. */
  private static final double MIN_RATIO = 0.95;

  private static final String CONFIGURATION =
      """
      {"version": 1,
       "routes": [
         {"name": "read", "hostname": "localhost", "prefix": "/read/",
          "route-kind": "idempotent", "service": "s", "timeout-ms": 2000, "max-attempts": 2},
         {"name": "write", "hostname": "localhost", "prefix": "/write/",
          "route-kind": "non_idempotent", "service": "s", "timeout-ms": 2000, "max-attempts": 2},
         {"name": "draft", "hostname": "localhost", "prefix": "/draft/",
          "route-kind": "streaming", "service": "s", "timeout-ms": 2000, "max-attempts": 2,
          "stream-resumption": true}],
       "services": [{"name": "s", "connection-limit": 200}]}
      """;

  private static final String SHARED_SEGMENT = "a1:50";
  private static final List<String> ROUTES = List.of("read", "write", "draft");

  @TempDir private Path folder;

  private final List<SoakDaemon> daemons = new ArrayList<>();
  private final List<FakeEndpoint> endpoints = new ArrayList<>();
  private final List<List<FaultProxy>> paths = new ArrayList<>();
  private final Queue<Result> results = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicInteger sentCount = new AtomicInteger();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();
  private FakePlatform platform;

  private record Result(int daemon, String id, long sentNanos, int status) {}

  private interface Cut {
    void apply(FaultProxy path) throws IOException;
  }

  private void start() throws Exception {
    platform = FakePlatform.start();
    platform.write(FakePlatform.OPERATORS, FakePlatform.CONFIGURATION_KEY, CONFIGURATION);
    for (int i = 0; i < ENDPOINTS; i++) {
      FakeEndpoint endpoint = FakeEndpoint.start(CutOffDaemonTest::respond);
      endpoints.add(endpoint);
      platform.registerEndpoint("i-" + i, "s", endpoint.port(), false);
    }
    for (int i = 0; i < DAEMONS; i++) {
      Map<String, String> addresses = new HashMap<>();
      List<FaultProxy> proxies = new ArrayList<>();
      for (FakeEndpoint endpoint : endpoints) {
        FaultProxy proxy = FaultProxy.start(endpoint.port(), 0);
        proxies.add(proxy);
        addresses.put("127.0.0.1:" + endpoint.port(), "127.0.0.1:" + proxy.port());
      }
      paths.add(proxies);
      int store = platform.openView(value -> replace(value, addresses)).port();
      SoakDaemon daemon = new SoakDaemon("daemon-" + i, "z" + i, folder, store, GRACE_MILLIS);
      daemon.start();
      daemons.add(daemon);
    }
    for (SoakDaemon daemon : daemons) {
      daemon.awaitServing("/read/x");
    }
    // Allows every daemon to read that all others are ready.
    TimeUnit.SECONDS.sleep(3);
  }

  @AfterEach
  void stop() throws Exception {
    stopped.set(true);
    for (SoakDaemon daemon : daemons) {
      daemon.close();
    }
    for (List<FaultProxy> proxies : paths) {
      for (FaultProxy proxy : proxies) {
        proxy.close();
      }
    }
    for (FakeEndpoint endpoint : endpoints) {
      endpoint.close();
    }
    platform.close();
  }

  private static String replace(String registration, Map<String, String> addresses) {
    String result = registration;
    for (Map.Entry<String, String> address : addresses.entrySet()) {
      result = result.replace(address.getKey() + '"', address.getValue() + '"');
    }
    return result;
  }

  private static void respond(FakeEndpoint.Request request, FakeEndpoint.Connection connection)
      throws Exception {
    String id = request.header("attempt-id");
    TimeUnit.MILLISECONDS.sleep(ENDPOINT_MILLIS);
    if (request.requestLine().contains("/draft/")) {
      connection.startStream(id);
      connection.sendEvent(1);
      connection.sendEvent(2);
      connection.endStream();
    } else {
      connection.respond(200, id, "done");
    }
  }

  private void startCallers(int callersPerDaemon) {
    for (int i = 0; i < DAEMONS * callersPerDaemon; i++) {
      int daemon = i % DAEMONS;
      DaemonThreads.start("caller-" + i, () -> sendUntilStopped(daemon));
    }
  }

  private void sendUntilStopped(int daemon) {
    try {
      while (!stopped.get()) {
        int number = sentCount.incrementAndGet();
        String route = ROUTES.get(number % ROUTES.size());
        String id = route + '-' + number;
        long sentNanos = System.nanoTime();
        results.add(new Result(daemon, id, sentNanos, send(daemon, route, id)));
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int send(int daemon, String route, String id) throws InterruptedException {
    URI uri = URI.create("http://localhost:" + daemons.get(daemon).callers() + '/' + route + "/x");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Attempt-Id", id)
            .header("Deadline-Remaining", "2000")
            .header("Token-Counts", "100,20")
            .header(
                "Prompt-Prefix", SHARED_SEGMENT + "," + Integer.toHexString(id.hashCode()) + ":30")
            .timeout(Duration.ofSeconds(4))
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      // No response, or a part of one.
      return 0;
    }
  }

  private double servedShare(boolean cut, long fromNanos) {
    List<Result> counted =
        results.stream()
            .filter(result -> result.sentNanos() >= fromNanos)
            .filter(result -> result.daemon() < CUT_DAEMONS == cut)
            .toList();
    assertThat(counted).hasSizeGreaterThan(100);
    return counted.stream().filter(result -> result.status() == 200).count()
        / (double) counted.size();
  }

  /** Refused requests were not executed, and those that must not be repeated not twice. */
  private void assertPromisesKept() {
    Map<String, Integer> executions = new HashMap<>();
    for (FakeEndpoint endpoint : endpoints) {
      for (FakeEndpoint.Request request : endpoint.requests()) {
        executions.merge(String.valueOf(request.header("attempt-id")), 1, Integer::sum);
      }
    }
    assertThat(executions.entrySet())
        .noneMatch(entry -> entry.getKey().startsWith("write-") && entry.getValue() > 1);
    assertThat(results)
        .noneMatch(result -> result.status() == 503 && executions.containsKey(result.id()));
  }

  private void assertCallersServed(Cut cut) throws Exception {
    start();
    startCallers(CALLERS_PER_DAEMON);
    TimeUnit.SECONDS.sleep(1);
    final long cutNanos = System.nanoTime();
    for (List<FaultProxy> proxies : paths.subList(0, CUT_DAEMONS)) {
      for (FaultProxy proxy : proxies) {
        cut.apply(proxy);
      }
    }
    startCallers(LATE_CALLERS_PER_DAEMON);
    TimeUnit.MILLISECONDS.sleep(NOTICE_MILLIS + MEASURE_MILLIS);
    stopped.set(true);
    TimeUnit.SECONDS.sleep(3);
    long fromNanos = cutNanos + TimeUnit.MILLISECONDS.toNanos(NOTICE_MILLIS);
    assertPromisesKept();
    assertThat(servedShare(false, fromNanos)).isGreaterThanOrEqualTo(MIN_RATIO);
    assertThat(servedShare(true, fromNanos))
        .isGreaterThanOrEqualTo(MIN_RATIO * servedShare(false, fromNanos));
  }

  @Test
  void callersAreServedWhileConnectionsToEndpointsHang() throws Exception {
    assertCallersServed(FaultProxy::hang);
  }

  @Test
  void callersAreServedWhileConnectionsToEndpointsAreReset() throws Exception {
    assertCallersServed(FaultProxy::shutDown);
  }

  @Test
  void callersAreServedWhileOnlyOldConnectionsToEndpointsLive() throws Exception {
    assertCallersServed(FaultProxy::refuseConnections);
  }
}
