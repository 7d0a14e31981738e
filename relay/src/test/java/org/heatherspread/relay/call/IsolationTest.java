package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A daemon that reaches no endpoint refuses requests at once, and sends callers elsewhere. */
class IsolationTest {
  private RelayHarness harness;

  @BeforeEach
  void start() throws Exception {
    harness = RelayHarness.start();
  }

  @AfterEach
  void stop() {
    harness.close();
  }

  /** Starts one process behind all endpoints. */
  private FakeEndpoint startEndpoints() throws Exception {
    FakeEndpoint endpoint =
        FakeEndpoint.start(
            (request, connection) ->
                connection.respond(200, request.header("attempt-id"), "hello"));
    harness.register(endpoint, endpoint, endpoint);
    return endpoint;
  }

  private void isolate() throws Exception {
    harness.isolate();
  }

  @Test
  void isolatedDaemonRefusesAtOnceAndClosesTheConnection() throws Exception {
    try (FakeEndpoint endpoint = startEndpoints()) {
      isolate();
      assertThat(harness.call("POST", "/write/a", "id-1"))
          .startsWith("HTTP/1.1 503")
          .contains("isolated")
          .containsIgnoringCase("connection: close")
          .containsIgnoringCase("retry-after");
      assertThat(endpoint.requests()).isEmpty();
    }
  }

  @Test
  void acceptedConnectionEndsTheIsolation() throws Exception {
    try (FakeEndpoint ignored = startEndpoints()) {
      isolate();
      harness.onLoop(
          state ->
              state.probePath(
                  state.endpoints().get("e0").orElseThrow(),
                  () -> state.isolation().recordReached(state.clock().millis()),
                  () -> {}));
      long end = System.nanoTime() + 5_000_000_000L;
      String response = "";
      while (!response.startsWith("HTTP/1.1 200") && System.nanoTime() < end) {
        response = harness.call("POST", "/write/a", "id-" + System.nanoTime());
      }
      assertThat(response).startsWith("HTTP/1.1 200");
    }
  }
}
