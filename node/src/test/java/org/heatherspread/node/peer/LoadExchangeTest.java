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
import org.heatherspread.node.RelayStates;
import org.heatherspread.relay.call.RelayState;
import org.junit.jupiter.api.Test;

/** Two failure domains of two daemons each, which all send to one endpoint. */
class LoadExchangeTest {
  private static final String ENDPOINT = "e1";
  private static final Workload WORK = new Workload(List.of(), 1_000, 10);

  private final ManualClock clock = ManualClock.create();
  private final Map<String, LoadExchange> exchanges = new HashMap<>();
  private final Map<String, RelayState> states = new HashMap<>();

  private final LoadExchange.LoadClient calls =
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
    daemon("a1", new LoadExchange.DomainReaders("a1", List.of("b1")));
    daemon("a2", new LoadExchange.DomainReaders("a1", List.of("b1")));
    daemon("b1", new LoadExchange.DomainReaders("b1", List.of("a1")));
    daemon("b2", new LoadExchange.DomainReaders("b1", List.of("a1")));
  }

  private void daemon(String name, LoadExchange.DomainReaders readers) {
    StoreFreshness contact = StoreFreshness.create(clock, InstantSource.system());
    RelayState state = RelayStates.create(clock, contact, null);
    HostPort address = new HostPort("127.0.0.1", 1);
    state
        .endpoints()
        .put(new RegisteredEndpoint(ENDPOINT, "s", address, "z", 6, false, false, -1, 1));
    states.put(name, state);
    exchanges.put(name, new LoadExchange(state, name, calls, () -> readers));
  }

  private TrackedEndpoint endpoint(String daemon) {
    return states.get(daemon).endpoints().get(ENDPOINT).orElseThrow();
  }

  private void rounds(int rounds) {
    for (int i = 0; i < rounds; i++) {
      clock.advance(Duration.ofMillis(250));
      exchanges.values().forEach(LoadExchange::exchange);
    }
  }

  @Test
  void everyDaemonSeesWhatAllSendWithinThreeRounds() {
    List<String> names = List.of("a1", "a2", "b1", "b2");
    for (int i = 0; i < names.size(); i++) {
      for (int sent = 0; sent <= i; sent++) {
        endpoint(names.get(i)).startRequest(WORK);
      }
    }
    rounds(3);
    for (String name : names) {
      assertThat(endpoint(name).load()).isEqualTo(new EndpointLoad(10, 10_000));
      assertThat(exchanges.get(name).isFresh()).isTrue();
    }
  }

  /** The reader of a domain is gone: its members fall back on the reports. */
  @Test
  void membersWhoseReaderIsGoneKnowThatTheirLoadsAreOld() {
    rounds(3);
    clock.advance(Duration.ofMillis(1_300));
    assertThat(exchanges.get("a2").isFresh()).isFalse();
  }
}
