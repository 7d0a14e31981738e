package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.FakePlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests one daemon against a fake of the platform's store, with outages. */
class NodeTest {
  private static final String CONFIGURATION =
      """
      {"version": %d,
       "routes": [{"name": "r", "hostname": "localhost", "prefix": "/%s/",
         "route-kind": "idempotent", "service": "s", "timeout-ms": 500, "max-attempts": 1}],
       "services": [{"name": "s"}],
       "tenants": [{"name": "acme", "api-keys": ["%s"]}]}
      """;

  private static final String LIMITED_CONFIGURATION =
      CONFIGURATION
          .formatted(1, "a", "key-1")
          .replace("\"api-keys\"", "\"requests-per-s\": 1000, \"burst-size\": 9, \"api-keys\"");

  private static final String ENDPOINT =
      """
      {"service": "s", "address": "127.0.0.1:1", "zone": "z", "concurrency-slots": 1,
       "state": "ready", "sequence-number": 1}
      """;

  private static final String OTHER_DAEMON =
      """
      {"daemon": "other", "life": "1", "address": "10.0.0.9:80", "domain": "z", "state": "READY",
       "sequence": 1, "atStoreMillis": 1, "wallLessStoreMillis": 1, "usage": {},
       "loads": {}, "crashes": [], "work": {}}
      """;

  /** Reports that the store has been in its era for long, and all counts up to a later time. */
  private static final String DAEMON_OF_THE_ERA =
      OTHER_DAEMON
          .replace("\"atStoreMillis\": 1", "\"atStoreMillis\": 9000000000000")
          .replace(
              "\"work\": {}",
              "\"work\": {}, \"storeEra\": {\"era\": 1, \"sinceStoreMillis\": -9000000000000}");

  private final int callers = LoopbackSupport.freePort();
  private final int readiness = LoopbackSupport.freePort();
  private final int directory = LoopbackSupport.freePort();
  private FakePlatform platform;
  private Node node;

  @BeforeEach
  void start() throws Exception {
    platform = FakePlatform.start();
    configure(1, "a", "key-1");
    platform.write("servers", "i-1", ENDPOINT);
    node = startNode(platform, callers, readiness, directory);
    await(() -> LoopbackSupport.requestStatus(readiness, "/", "") == 200);
  }

  private static Node startNode(FakePlatform platform, int callers, int readiness, int directory)
      throws InterruptedException {
    String settings =
        """
        [daemon]
        name = "daemon-1"
        domain = "z"
        [listen]
        callers = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        directory = "127.0.0.1:%d"
        metrics = "127.0.0.1:%d"
        peers = "127.0.0.1:%d"
        [store]
        address = "%s"
        [cloud]
        address = "%s"
        [bounds]
        grace = "3s"
        """
            .formatted(
                callers,
                readiness,
                directory,
                LoopbackSupport.freePort(),
                LoopbackSupport.freePort(),
                platform.address(),
                platform.address());
    Node started = Node.create(NodeSettings.parse("test", settings));
    started.start();
    return started;
  }

  @AfterEach
  void stop() {
    platform.close();
  }

  private void configure(long version, String prefix, String key) {
    platform.write("op", "config", CONFIGURATION.formatted(version, prefix, key));
  }

  private static void await(LoopbackSupport.Condition condition) throws Exception {
    LoopbackSupport.await(condition, 10_000);
  }

  @Test
  void appliesNewerConfigurationsAndIgnoresOlderOnes() throws Exception {
    assertThat(LoopbackSupport.requestStatus(callers, "/a/x", "key-1")).isEqualTo(503);
    assertThat(LoopbackSupport.requestStatus(callers, "/b/x", "key-1")).isEqualTo(404);
    configure(5, "b", "key-1");
    await(() -> LoopbackSupport.requestStatus(callers, "/b/x", "key-1") == 503);
    configure(4, "a", "key-1");
    TimeUnit.MILLISECONDS.sleep(300);
    assertThat(LoopbackSupport.requestStatus(callers, "/a/x", "key-1")).isEqualTo(404);
  }

  /** The next periodic report comes only 1.5 s later, in a large fleet after several seconds. */
  @Test
  void reportsReadinessToOtherDaemonsImmediately() throws Exception {
    long start = System.nanoTime();
    await(() -> platform.findAnyValue("daemons").contains("READY"));
    assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(500));
  }

  /**
   * The next regular read of the daemon reports comes only 1.5 s later, and until then nobody
   * decides on the limits that the daemon owns.
   */
  @Test
  void decidesOnItsOwnLimitsSoonAfterItIsReady() throws Exception {
    try (FakePlatform other = FakePlatform.start()) {
      other.write("op", "config", LIMITED_CONFIGURATION);
      int port = LoopbackSupport.freePort();
      int ready = LoopbackSupport.freePort();
      startNode(other, port, ready, LoopbackSupport.freePort());
      await(() -> LoopbackSupport.requestStatus(ready, "/", "") == 200);
      long start = System.nanoTime();
      await(() -> LoopbackSupport.requestStatus(port, "/a/x", "key-1") == 503);
      assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(1_500));
    }
  }

  /** The first read of the daemon reports ends before that of the configuration. */
  @Test
  void decidesOnItsOwnLimitsSoonAfterLateConfiguration() throws Exception {
    try (FakePlatform other = FakePlatform.start()) {
      int port = LoopbackSupport.freePort();
      int ready = LoopbackSupport.freePort();
      startNode(other, port, ready, LoopbackSupport.freePort());
      TimeUnit.MILLISECONDS.sleep(200);
      other.write("op", "config", LIMITED_CONFIGURATION);
      await(() -> LoopbackSupport.requestStatus(ready, "/", "") == 200);
      long start = System.nanoTime();
      await(() -> LoopbackSupport.requestStatus(port, "/a/x", "key-1") == 503);
      assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(1_000));
    }
  }

  @Test
  void readsChangesAfterTheStoreDroppedItsHistory() throws Exception {
    platform.write("other", "x", "y");
    platform.dropHistory();
    configure(5, "b", "key-1");
    platform.dropHistory();
    await(() -> LoopbackSupport.requestStatus(callers, "/b/x", "key-1") == 503);
  }

  /**
   * If the store responds for other tables but not for the configuration, keys must be refused at
   * the revocation bound, since any of them may have been revoked in the meantime.
   */
  @Test
  void refusesKeysWhileTheConfigurationIsUnreadable() throws Exception {
    assertThat(LoopbackSupport.requestStatus(callers, "/a/x", "key-2")).isEqualTo(401);
    platform.setUnresponsiveTable("op");
    TimeUnit.MILLISECONDS.sleep(4_400);
    assertThat(platform.readCount()).isPositive();
    assertThat(LoopbackSupport.requestStatus(callers, "/a/x", "key-2")).isEqualTo(503);
    assertThat(LoopbackSupport.requestStatus(readiness, "/", "")).isEqualTo(503);
    assertThat(LoopbackSupport.requestStatus(directory, "/v1/resolution?name=x", ""))
        .isEqualTo(503);
    platform.write("daemons", "other/1", OTHER_DAEMON);
    await(() -> LoopbackSupport.requestStatus(directory, "/v1/resolution?name=x", "") == 200);
    platform.setUnresponsiveTable("");
    await(() -> LoopbackSupport.requestStatus(readiness, "/", "") == 200);
    assertThat(LoopbackSupport.requestStatus(directory, "/v1/resolution?name=x", ""))
        .isEqualTo(200);
  }

  /** The two latest windows are due when the daemon starts, and are reported one by one. */
  @Test
  void reportsUsageOncePerWindowAndStopsGracefully() throws Exception {
    platform.write("daemons", "other/1", DAEMON_OF_THE_ERA);
    await(() -> reportedWindows().size() >= 2);
    TimeUnit.SECONDS.sleep(1);
    assertThat(reportedWindows()).doesNotHaveDuplicates();
    long start = System.nanoTime();
    node.stop();
    assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(3_000));
    assertThat(platform.findAnyValue("daemons")).contains("LEAVING");
  }

  /** A start may keep the event loop busy for longer than the whole grace period. */
  @Test
  void stopsWithinTheGracePeriodWhileItsEventLoopIsBusy() throws Exception {
    CountDownLatch busy = new CountDownLatch(1);
    node.eventLoop().execute(() -> Uninterruptibles.awaitUninterruptibly(busy));
    try {
      long start = System.nanoTime();
      node.stop();
      assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(2_500));
    } finally {
      busy.countDown();
    }
  }

  private List<String> reportedWindows() {
    return platform.cloudRequests().stream()
        .filter(request -> request.startsWith("/usage"))
        .map(request -> request.replaceFirst(",\"counts\".*", ""))
        .toList();
  }
}
