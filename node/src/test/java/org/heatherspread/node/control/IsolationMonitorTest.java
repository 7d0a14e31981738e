package org.heatherspread.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.node.RelayStateFixtures;
import org.heatherspread.node.peer.SharedFacts;
import org.heatherspread.relay.call.RelayState;
import org.junit.jupiter.api.Test;

/** A daemon that reaches no endpoint leaves the directory until it reaches one again. */
class IsolationMonitorTest {
  private static final Map<String, String> ADDRESSES = Map.of("self", "1", "other", "2");
  private static final List<String> IDS = List.of("a", "b", "c", "d");
  private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);

  private final ManualClock clock = ManualClock.create();
  private final RelayState state =
      RelayStateFixtures.create(clock, StoreFreshness.create(clock, InstantSource.system()), null);
  private final SharedFacts facts = SharedFacts.create("self", "9f2c", clock);
  private final List<Runnable> probes = new ArrayList<>();
  private final List<Runnable> failures = new ArrayList<>();
  private final IsolationMonitor monitor =
      IsolationMonitor.create(
          state,
          facts,
          "self",
          (endpoint, onReached, onFailed) -> {
            probes.add(onReached);
            failures.add(onFailed);
          });

  private void putEndpoints() {
    for (String id : IDS) {
      state
          .endpoints()
          .put(new RegisteredEndpoint(id, "s", ADDRESS, "z", 6, false, false, -1, "v1", 1));
    }
  }

  private void failEndpoints() {
    putEndpoints();
    for (String id : IDS) {
      state
          .endpoints()
          .get(id)
          .orElseThrow()
          .startRequest(Workload.NONE)
          .recordFailure(clock.millis());
    }
    clock.advance(Duration.ofMillis(700));
    monitor.check();
  }

  @Test
  void isolatedDaemonIsLeftOutUntilAnEndpointAccepts() {
    monitor.check();
    assertThat(monitor.retainReachable(ADDRESSES)).isEqualTo(ADDRESSES);
    failEndpoints();
    assertThat(monitor.retainReachable(ADDRESSES)).containsOnlyKeys("other");
    assertThat(probes).hasSize(3);
    probes.get(0).run();
    monitor.check();
    assertThat(monitor.retainReachable(ADDRESSES)).isEqualTo(ADDRESSES);
    assertThat(probes).hasSize(3);
  }

  @Test
  void suspicionIsCheckedByConnections() {
    putEndpoints();
    state.endpoints().get("a").orElseThrow().startRequest(Workload.NONE);
    monitor.check();
    assertThat(failures).hasSize(3);
    failures.forEach(Runnable::run);
    monitor.check();
    assertThat(monitor.isolatedDaemons()).containsExactly("self");
  }

  @Test
  void isolationIsRepeatedWhileItLasts() {
    failEndpoints();
    for (int i = 0; i < 30; i++) {
      clock.advance(Duration.ofMillis(200));
      monitor.check();
      assertThat(monitor.retainReachable(ADDRESSES)).containsOnlyKeys("other");
    }
  }
}
