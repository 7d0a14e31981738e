package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A daemon without a path to the endpoints passes requests to others that have one. */
class ForwardingTest {
  private static final String ACCEPTED = "Forward-Accepted: 1";

  private RelayHarness isolated;
  private RelayHarness other;
  private RelayHarness third;

  @BeforeEach
  void start() throws Exception {
    isolated = RelayHarness.start();
    other = RelayHarness.start();
    third = RelayHarness.start();
  }

  @AfterEach
  void stop() {
    List.of(isolated, other, third).forEach(RelayHarness::close);
  }

  private static FakeEndpoint startEndpoint() throws Exception {
    return FakeEndpoint.start(
        (request, connection) -> connection.respond(200, request.header("attempt-id"), "hello"));
  }

  /** Cuts a daemon off from its endpoints and tells it of other daemons. */
  private static void isolate(RelayHarness daemon, HostPort... others) throws Exception {
    try (FakeEndpoint endpoint = startEndpoint()) {
      daemon.register(endpoint, endpoint, endpoint);
    }
    daemon.isolate();
    Map<String, HostPort> targets = new HashMap<>();
    for (HostPort target : others) {
      targets.put("daemon-" + target.port(), target);
    }
    daemon.onLoop(state -> state.forwarding().setTargets("self", () -> targets));
  }

  private static HostPort address(FakeEndpoint peer) {
    return new HostPort("127.0.0.1", peer.port());
  }

  @Test
  void requestIsAdmittedOnceAndServedByAnotherDaemon() throws Exception {
    try (FakeEndpoint endpoint = startEndpoint()) {
      other.register(endpoint);
      // The other daemon would refuse the request if it counted it.
      other.onLoop(state -> state.updateConfig(RelayHarness.config(2, 0.000_1)));
      isolate(isolated, other.daemonAddress());
      assertThat(isolated.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 200");
      assertThat(endpoint.requests()).hasSize(1);
      assertThat(endpoint.requests().get(0).header("forwarded-by")).isNull();
      assertThat(endpoint.requests().get(0).header("authorization")).isNull();
    }
  }

  @Test
  void unreachableEndpointsAreReasonToForward() throws Exception {
    try (FakeEndpoint endpoint = startEndpoint()) {
      other.register(endpoint);
      FakeEndpoint gone = startEndpoint();
      isolated.register(gone, gone, gone);
      gone.close();
      HostPort target = other.daemonAddress();
      isolated.onLoop(state -> state.forwarding().setTargets("self", () -> Map.of("o", target)));
      assertThat(isolated.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void declinedRequestGoesToThirdDaemon() throws Exception {
    try (FakeEndpoint endpoint = startEndpoint()) {
      third.register(endpoint);
      isolate(other);
      isolate(isolated, other.daemonAddress(), third.daemonAddress());
      for (int i = 0; i < 8; i++) {
        assertThat(isolated.call("POST", "/write/a", "id-" + i)).startsWith("HTTP/1.1 200");
      }
      assertThat(endpoint.requests()).hasSize(8);
    }
  }

  @Test
  void forwardedRequestIsNotPassedOn() throws Exception {
    try (FakeEndpoint endpoint = startEndpoint()) {
      third.register(endpoint);
      isolate(other, third.daemonAddress(), isolated.daemonAddress());
      isolate(isolated, other.daemonAddress());
      assertThat(isolated.call("POST", "/write/a", "id-1"))
          .startsWith("HTTP/1.1 503")
          .contains("isolated")
          .doesNotContainIgnoringCase("forward-accepted");
      assertThat(endpoint.requests()).isEmpty();
    }
  }

  /** A response that is no refusal may be the outcome of a run, whatever header it lacks. */
  @ParameterizedTest
  @ValueSource(ints = {200, 204, 302, 409, 500, 502, 504})
  void requestThatWasNotRefusedIsNotRepeated(int status) throws Exception {
    try (FakeEndpoint peer =
            FakeEndpoint.start(
                (request, connection) ->
                    connection.respond(status, request.header("attempt-id"), ""));
        FakeEndpoint endpoint = startEndpoint()) {
      third.register(endpoint);
      isolate(isolated, address(peer), third.daemonAddress());
      for (int i = 0; i < 12; i++) {
        int before = peer.requests().size();
        String response = isolated.call("POST", "/write/a", "id-" + i);
        boolean reachedPeer = peer.requests().size() > before;
        assertThat(response).startsWith(reachedPeer ? "HTTP/1.1 502" : "HTTP/1.1 200");
      }
      assertThat(peer.requests()).isNotEmpty();
      assertThat(peer.requests().size() + endpoint.requests().size()).isEqualTo(12);
    }
  }

  /** The other daemon may have had it run. */
  @Test
  void requestWhoseResponseIsLostIsNotRepeated() throws Exception {
    try (FakeEndpoint peer =
            FakeEndpoint.start((request, connection) -> connection.socket().close());
        FakeEndpoint endpoint = startEndpoint()) {
      third.register(endpoint);
      isolate(isolated, address(peer), third.daemonAddress());
      int lost = 0;
      for (int i = 0; i < 8; i++) {
        String response = isolated.call("GET", "/read/a", "id-" + i);
        assertThat(response).matches("(?s)HTTP/1.1 (200|502).*");
        lost += response.startsWith("HTTP/1.1 502") ? 1 : 0;
      }
      assertThat(peer.requests()).hasSize(lost);
      assertThat(endpoint.requests()).hasSize(8 - lost);
    }
  }

  /** The refusal of the other daemon holds for itself only. */
  @Test
  void refusalAfterRunAtAnEndpointIsNoPromise() throws Exception {
    try (FakeEndpoint peer =
            FakeEndpoint.start(
                (request, connection) -> connection.respond(503, "x", "", ACCEPTED));
        FakeEndpoint endpoint =
            FakeEndpoint.start(
                (request, connection) -> {
                  isolated.isolate();
                  connection.reset();
                })) {
      isolated.register(endpoint, endpoint, endpoint);
      HostPort target = address(peer);
      isolated.onLoop(state -> state.forwarding().setTargets("self", () -> Map.of("o", target)));
      assertThat(isolated.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 502");
      assertThat(peer.requests()).hasSize(1);
    }
  }

  @Test
  void otherDaemonIsToldHowManyEndpointsRemain() throws Exception {
    try (FakeEndpoint peer = startEndpoint()) {
      isolate(isolated, address(peer));
      isolated.call("GET", "/read/a", "id-1");
      isolated.call("POST", "/write/a", "id-2");
      assertThat(peer.requests())
          .extracting(request -> request.header("forwarded-attempts"))
          .containsExactly("2", "1");
      assertThat(peer.requests().get(0).header("forwarded-by")).isEqualTo("self");
      assertThat(Long.parseLong(peer.requests().get(0).header("deadline-remaining")))
          .isLessThanOrEqualTo(4_000);
    }
  }

  /** A daemon of an earlier version knows other paths, or none. */
  @Test
  void responseOfDaemonThatDoesNotForwardIsNotPassedOn() throws Exception {
    try (FakeEndpoint earlier =
            FakeEndpoint.start((request, connection) -> connection.respond(404, "x", "{}"));
        FakeEndpoint endpoint = startEndpoint()) {
      third.register(endpoint);
      isolate(isolated, address(earlier), third.daemonAddress());
      for (int i = 0; i < 8; i++) {
        assertThat(isolated.call("POST", "/write/a", "id-" + i)).startsWith("HTTP/1.1 200");
      }
    }
  }

  @Test
  void streamArrivesEventByEvent() throws Exception {
    try (FakeEndpoint endpoint = FakeEndpoint.startSlowStreams()) {
      other.register(endpoint);
      isolate(isolated, other.daemonAddress());
      try (RelayHarness.Caller caller = isolated.caller()) {
        long startNanos = System.nanoTime();
        caller.request("POST", "/draft/a", "id-1", "Connection: close");
        assertThat(caller.readUntil("piece-1")).startsWith("HTTP/1.1 200");
        assertThat(System.nanoTime() - startNanos).isLessThan(1_200_000_000L);
        assertThat(caller.readAll()).contains("piece-2").endsWith("0\r\n\r\n");
      }
    }
  }

  @Test
  void streamThatIsCutAtTheOtherDaemonDoesNotLookWhole() throws Exception {
    try (FakeEndpoint peer =
        FakeEndpoint.start(
            (request, connection) -> {
              connection.startStream("id-1", ACCEPTED);
              connection.sendEvent(1);
              connection.sendChunk("id: 2\ndata: pie");
              connection.reset();
            })) {
      isolate(isolated, address(peer));
      assertThat(isolated.call("POST", "/draft/a", "id-1"))
          .contains("piece-1")
          .doesNotContain("id: 2")
          .doesNotEndWith("0\r\n\r\n");
    }
  }

  @Test
  void callerThatLeavesEndsTheRunAtTheEndpoint() throws Exception {
    try (FakeEndpoint endpoint =
        FakeEndpoint.start((request, connection) -> connection.in().read())) {
      other.register(endpoint);
      isolate(isolated, other.daemonAddress());
      RelayHarness.Caller caller = isolated.caller();
      caller.request("POST", "/write/a", "id-1", "Connection: close");
      awaitRequests(endpoint, 1);
      caller.close();
      long endNanos = System.nanoTime() + 2_000_000_000L;
      int[] running = {1};
      while (running[0] > 0 && System.nanoTime() < endNanos) {
        Thread.sleep(20);
        other.onLoop(state -> running[0] = state.endpoints().get("e0").orElseThrow().running());
      }
      assertThat(running[0]).isZero();
    }
  }

  private static void awaitRequests(FakeEndpoint endpoint, int count) throws InterruptedException {
    long endNanos = System.nanoTime() + 5_000_000_000L;
    while (endpoint.requests().size() < count && System.nanoTime() < endNanos) {
      Thread.sleep(10);
    }
    assertThat(endpoint.requests()).hasSize(count);
  }

  @Test
  void callersCannotForward() throws Exception {
    try (FakeEndpoint endpoint = startEndpoint()) {
      isolated.register(endpoint);
      isolated.onLoop(state -> state.updateConfig(RelayHarness.config(2, 0.000_1)));
      isolated.call("POST", "/write/a", "id-1", "Forwarded-By: x");
      assertThat(isolated.call("POST", "/write/a", "id-2", "Forwarded-By: x"))
          .startsWith("HTTP/1.1 429");
    }
  }
}
