package org.heatherspread.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.node.RelayStateFixtures;
import org.heatherspread.relay.call.RelayState;
import org.junit.jupiter.api.Test;

/** Tests two failure domains of two daemons each, all of which send requests to one endpoint. */
class LoadExchangeTest {
  private static final String ENDPOINT = "e1";
  private static final Workload WORK = new Workload(List.of(), 1_000, 10);

  private final ManualClock clock = ManualClock.create();
  private final Map<String, LoadExchange> exchanges = new HashMap<>();
  private final Map<String, RelayState> states = new HashMap<>();

  private final LoadExchange.LoadClient client =
      new LoadExchange.LoadClient() {
        @Override
        public CompletableFuture<Map<String, EndpointLoad>> exchangeLoads(
            String reader, String self, Map<String, EndpointLoad> loads) {
          return CompletableFuture.completedFuture(
              exchanges.get(reader).recordMemberLoads(self, loads));
        }

        @Override
        public CompletableFuture<Map<String, EndpointLoad>> fetchDomainLoads(String reader) {
          return CompletableFuture.completedFuture(exchanges.get(reader).domainLoads());
        }
      };

  LoadExchangeTest() {
    addDaemon("a1", new LoadExchange.DomainReaders("a1", List.of("b1")));
    addDaemon("a2", new LoadExchange.DomainReaders("a1", List.of("b1")));
    addDaemon("b1", new LoadExchange.DomainReaders("b1", List.of("a1")));
    addDaemon("b2", new LoadExchange.DomainReaders("b1", List.of("a1")));
  }

  private void addDaemon(String name, LoadExchange.DomainReaders readers) {
    StoreFreshness freshness = StoreFreshness.create(clock, InstantSource.system());
    RelayState state = RelayStateFixtures.create(clock, freshness, null);
    HostPort address = new HostPort("127.0.0.1", 1);
    state
        .endpoints()
        .put(new RegisteredEndpoint(ENDPOINT, "s", address, "z", 6, false, false, -1, 1));
    states.put(name, state);
    exchanges.put(name, new LoadExchange(state, name, client, () -> readers));
  }

  private TrackedEndpoint endpoint(String daemon) {
    return states.get(daemon).endpoints().get(ENDPOINT).orElseThrow();
  }

  private void runRounds(int rounds) {
    for (int i = 0; i < rounds; i++) {
      clock.advance(Duration.ofMillis(250));
      exchanges.values().forEach(LoadExchange::exchange);
    }
  }

  @Test
  void everyDaemonKnowsTheTotalLoadAfterThreeRounds() {
    List<String> names = List.of("a1", "a2", "b1", "b2");
    for (int i = 0; i < names.size(); i++) {
      for (int request = 0; request <= i; request++) {
        endpoint(names.get(i)).startRequest(WORK);
      }
    }
    runRounds(3);
    for (String name : names) {
      assertThat(endpoint(name).load()).isEqualTo(new EndpointLoad(10, 10_000));
      assertThat(exchanges.get(name).isFresh()).isTrue();
    }
  }

  /** Without its reader, a daemon must fall back to the loads in reports. */
  @Test
  void loadsBecomeStaleWithoutTheReader() {
    runRounds(3);
    clock.advance(Duration.ofMillis(1_300));
    assertThat(exchanges.get("a2").isFresh()).isFalse();
  }
}
