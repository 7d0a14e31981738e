package org.heatherspread.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.FactLog.Position;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.placement.PromptSegment;
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
  private final Map<String, SharedFacts> facts = new HashMap<>();
  private final Map<String, List<String>> received = new HashMap<>();
  private final Set<String> stopped = new HashSet<>();
  private int memberUpdates;

  private final LoadExchange.LoadClient client =
      new LoadExchange.LoadClient() {
        @Override
        public CompletableFuture<ExchangedLoads> exchangeLoads(String reader, MemberUpdate update) {
          if (stopped.contains(reader)) {
            return CompletableFuture.failedFuture(new IOException("connection refused"));
          }
          memberUpdates++;
          return CompletableFuture.completedFuture(exchanges.get(reader).recordMemberLoads(update));
        }

        @Override
        public CompletableFuture<ExchangedLoads> fetchDomainLoads(
            String reader, Position received) {
          if (stopped.contains(reader)) {
            return CompletableFuture.failedFuture(new IOException("connection refused"));
          }
          return CompletableFuture.completedFuture(exchanges.get(reader).domainLoads(received));
        }
      };

  LoadExchangeTest() {
    addDaemon("a1", new LoadExchange.DomainReaders("a1", List.of("b1"), Set.of("a1", "a2")));
    addDaemon("a2", new LoadExchange.DomainReaders("a1", List.of("b1"), Set.of("a1", "a2")));
    addDaemon("b1", new LoadExchange.DomainReaders("b1", List.of("a1"), Set.of("b1", "b2")));
    addDaemon("b2", new LoadExchange.DomainReaders("b1", List.of("a1"), Set.of("b1", "b2")));
  }

  private void addDaemon(String name, LoadExchange.DomainReaders readers) {
    StoreFreshness freshness = StoreFreshness.create(clock, InstantSource.system());
    RelayState state = RelayStateFixtures.create(clock, freshness, null);
    HostPort address = new HostPort("127.0.0.1", 1);
    state
        .endpoints()
        .put(new RegisteredEndpoint(ENDPOINT, "s", address, "z", 6, false, false, -1, "v1", 1));
    states.put(name, state);
    SharedFacts shared = SharedFacts.create(name, name + "/1", clock);
    shared.onFact(
        "greeting",
        new TypeReference<List<String>>() {},
        (daemon, words, ageMillis) -> received.get(name).add(daemon + words));
    received.put(name, new ArrayList<>());
    facts.put(name, shared);
    exchanges.put(name, new LoadExchange(state, name, client, shared, () -> readers));
  }

  private TrackedEndpoint endpoint(String daemon) {
    return states.get(daemon).endpoints().get(ENDPOINT).orElseThrow();
  }

  private void runRounds(int rounds) {
    for (int i = 0; i < rounds; i++) {
      clock.advance(Duration.ofMillis(250));
      for (Map.Entry<String, LoadExchange> daemon : exchanges.entrySet()) {
        if (!stopped.contains(daemon.getKey())) {
          daemon.getValue().exchange();
        }
      }
    }
  }

  private Set<String> silentAt(String daemon) {
    return exchanges.get(daemon).silentDaemons();
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

  /** The calls of idle daemons took much of the processor time before the traffic of a fleet. */
  @Test
  void daemonWithoutRequestsTakesPartInEverySecondExchange() {
    runScheduledRounds("a2", 8);
    assertThat(memberUpdates).isEqualTo(4);
    assertThat(exchanges.get("a2").isFresh()).isTrue();
  }

  @Test
  void daemonWithRequestsTakesPartInEveryExchangeUntilItsLoadIsGone() {
    TrackedEndpoint.TrackedRequest request = endpoint("a2").startRequest(WORK);
    runScheduledRounds("a2", 4);
    assertThat(memberUpdates).isEqualTo(4);
    request.end();
    runScheduledRounds("a2", 1);
    assertThat(memberUpdates).isEqualTo(5);
    assertThat(exchanges.get("a1").domainLoads(Position.START).loads()).isEmpty();
  }

  private void runScheduledRounds(String daemon, int rounds) {
    for (int i = 0; i < rounds; i++) {
      clock.advance(Duration.ofMillis(250));
      exchanges.get(daemon).runScheduled();
    }
  }

  /** Without its reader, a daemon must fall back to the loads in reports. */
  @Test
  void loadsBecomeStaleWithoutTheReader() {
    runRounds(3);
    clock.advance(Duration.ofMillis(1_300));
    assertThat(exchanges.get("a2").isFresh()).isFalse();
  }

  /** In a large fleet, the report of a daemon that is off stays valid for many seconds. */
  @Test
  void everyDaemonKnowsWithinThreeSecondsThatAnotherIsOff() {
    runRounds(5);
    stopped.add("b2");
    runRounds(12);
    for (String daemon : List.of("a1", "a2", "b1")) {
      assertThat(silentAt(daemon)).containsExactly("b2");
    }
    stopped.clear();
    runRounds(2);
    for (String daemon : exchanges.keySet()) {
      assertThat(silentAt(daemon)).isEmpty();
    }
  }

  @Test
  void everyDaemonKnowsWithinThreeSecondsThatReaderIsOff() {
    runRounds(5);
    stopped.add("b1");
    runRounds(12);
    for (String daemon : List.of("a1", "a2", "b2")) {
      assertThat(silentAt(daemon)).containsExactly("b1");
    }
  }

  @Test
  void readerThatStoodStillTakesNobodyForSilent() {
    runRounds(5);
    stopped.add("a1");
    runRounds(20);
    stopped.clear();
    runRounds(1);
    assertThat(silentAt("a1")).isEmpty();
    runRounds(12);
    for (String daemon : exchanges.keySet()) {
      assertThat(silentAt(daemon)).isEmpty();
    }
  }

  @Test
  void everyFactReachesEveryDaemonOnceWithinThreeRounds() {
    runRounds(2);
    facts.get("a2").publish("greeting", List.of("hello"));
    facts.get("b1").publish("greeting", List.of("good", "day"));
    runRounds(3);
    assertThat(received.get("a1")).containsExactlyInAnyOrder("a2[hello]", "b1[good, day]");
    assertThat(received.get("a2")).containsExactly("b1[good, day]");
    assertThat(received.get("b1")).containsExactly("a2[hello]");
    assertThat(received.get("b2")).containsExactlyInAnyOrder("a2[hello]", "b1[good, day]");
    runRounds(5);
    assertThat(received.get("b2")).hasSize(2);
  }

  /** Facts that were learned while the reader was away are sent once it is back. */
  @Test
  void factsAreNotLostWithFailedExchanges() {
    runRounds(2);
    stopped.add("a1");
    facts.get("a2").publish("greeting", List.of("hello"));
    runRounds(4);
    stopped.clear();
    runRounds(4);
    assertThat(received.get("b2")).containsExactly("a2[hello]");
  }

  @Test
  void factThatCannotBeReadIsSkipped() {
    facts.get("a2").publish("greeting", 7);
    facts.get("a2").publish("unknown kind", List.of());
    facts.get("a2").publish("greeting", List.of("hello"));
    runRounds(3);
    assertThat(received.get("b2")).containsExactly("a2[hello]");
  }

  /** A daemon knows which shared prefixes endpoints have cached for others. */
  @Test
  void everyDaemonKnowsWhichPrefixesAreCached() {
    List<PromptSegment> prefix = List.of(new PromptSegment(1, 500), new PromptSegment(2, 4_000));
    List<PromptSegment> prompt = new ArrayList<>(prefix);
    prompt.add(new PromptSegment(3, 900));
    endpoint("a2").startRequest(new Workload(prompt, 5_400, 10));
    runRounds(3);
    List<PromptSegment> next = new ArrayList<>(prefix);
    next.add(new PromptSegment(4, 700));
    for (String daemon : exchanges.keySet()) {
      assertThat(endpoint(daemon).cachedTokens(new Workload(next, 5_200, 10))).isEqualTo(4_500);
    }
  }
}
