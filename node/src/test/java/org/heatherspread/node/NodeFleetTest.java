package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.FakePlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests several daemons of one failure domain against a fake of the platform's store. */
class NodeFleetTest {
  private static final int DAEMONS = 5;
  private static final String KEY = "key";

  /** Maximum time for a new configuration to take effect, as deployments require. */
  private static final long MAX_APPLY_MILLIS = 2_000;

  private static final String CONFIGURATION =
      """
      {"version": %d,
       "routes": [{"name": "r", "hostname": "localhost", "prefix": "/%s/",
         "route-kind": "idempotent", "service": "s", "timeout-ms": 500, "max-attempts": 1}],
       "services": [{"name": "s"}],
       "tenants": [{"name": "acme", "api-keys": ["key"], "requests-per-s": %d, "burst-size": 1}]}
      """;

  private final List<Node> nodes = new ArrayList<>();
  private final List<Integer> callers = new ArrayList<>();
  private final List<Integer> readiness = new ArrayList<>();
  private FakePlatform platform;

  @BeforeEach
  void start() throws Exception {
    platform = FakePlatform.start();
    configure(1, "a", 0);
    for (int i = 0; i < DAEMONS; i++) {
      callers.add(LoopbackSupport.freePort());
      readiness.add(LoopbackSupport.freePort());
      String settings =
          """
          [daemon]
          name = "daemon-%d"
          domain = "z"
          [listen]
          callers = "127.0.0.1:%d"
          readiness = "127.0.0.1:%d"
          directory = "127.0.0.1:%d"
          metrics = "127.0.0.1:%d"
          peers = "127.0.0.1:%d"
          link_mbps = %d
          [store]
          address = "%s"
          [bounds]
          grace = "3s"
          """
              .formatted(
                  i,
                  callers.get(i),
                  readiness.get(i),
                  LoopbackSupport.freePort(),
                  LoopbackSupport.freePort(),
                  LoopbackSupport.freePort(),
                  DAEMONS - i,
                  platform.address());
      Node node = Node.create(NodeSettings.parse("test", settings));
      node.start();
      nodes.add(node);
    }
    LoopbackSupport.await(
        () ->
            readiness.stream()
                .allMatch(port -> LoopbackSupport.requestStatus(port, "/", KEY) == 200),
        10_000);
    // Allows every daemon to read that all others are ready.
    TimeUnit.MILLISECONDS.sleep(3_500);
  }

  @AfterEach
  void stop() {
    platform.close();
  }

  private void configure(long version, String prefix, int rate) {
    platform.write("op", "config", CONFIGURATION.formatted(version, prefix, rate));
  }

  private boolean isApplied(List<Integer> ports, String prefix) {
    return ports.stream()
        .allMatch(port -> LoopbackSupport.requestStatus(port, "/" + prefix + "/x", KEY) == 503);
  }

  /**
   * Returns the number of change feed requests for the configuration in two seconds; a daemon on
   * its own sends 4.
   */
  private long feedRequestsInTwoSeconds() {
    long before = platform.feedRequestCount("op");
    try {
      TimeUnit.SECONDS.sleep(2);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    long requests = platform.feedRequestCount("op") - before;
    assertThat(requests).isPositive();
    return requests;
  }

  @Test
  void oneDaemonReadsTheStoreForTheDomain() throws Exception {
    // Requests sent before the daemons discovered each other have to end first.
    LoopbackSupport.await(() -> feedRequestsInTwoSeconds() <= 5, 15_000);
    configure(5, "b", 0);
    LoopbackSupport.await(() -> isApplied(callers, "b"), MAX_APPLY_MILLIS);
  }

  @Test
  void otherDaemonsReceiveChangesAfterTheReaderStops() throws Exception {
    configure(5, "b", 0);
    LoopbackSupport.await(() -> isApplied(callers, "b"), MAX_APPLY_MILLIS);
    Thread stop = new Thread(nodes.get(0)::stop);
    stop.start();
    List<Integer> others = callers.subList(1, DAEMONS);
    for (int version = 6; version < 12; version++) {
      configure(version, "v" + version, 0);
      String prefix = "v" + version;
      LoopbackSupport.await(() -> isApplied(others, prefix), MAX_APPLY_MILLIS);
      TimeUnit.MILLISECONDS.sleep(400);
    }
    stop.join();
  }

  /** The account's limit of two requests a second applies to all daemons together. */
  @Test
  void daemonsEnforceAccountLimitTogether() throws Exception {
    configure(5, "b", 2);
    LoopbackSupport.await(() -> isApplied(callers.subList(0, 1), "b"), MAX_APPLY_MILLIS);
    TimeUnit.SECONDS.sleep(3);
    int admitted = 0;
    int refused = 0;
    for (int i = 0; i < 40; i++) {
      int status = LoopbackSupport.requestStatus(callers.get(i % DAEMONS), "/b/x", KEY);
      admitted += status == 503 ? 1 : 0;
      refused += status == 429 ? 1 : 0;
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertThat(admitted + refused).isEqualTo(40);
    // Two seconds at two requests a second, the burst, and the overshoot that the limit permits.
    assertThat(admitted).isBetween(4, 7);
  }
}
