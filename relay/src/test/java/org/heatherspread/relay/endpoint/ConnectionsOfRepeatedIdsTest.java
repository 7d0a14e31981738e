package org.heatherspread.relay.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A caller sends requests one after the other, all with one id or with none. The connections that
 * cannot carry the next one must not stay open beside its own: endpoints accept a limited number.
 */
class ConnectionsOfRepeatedIdsTest {
  private static final int REQUESTS = 20;
  private static final int MAX_CONNECTIONS = 2;

  private RelayHarness harness;
  private FakeEndpoint endpoint;

  @BeforeEach
  void start() throws Exception {
    harness = RelayHarness.start();
    endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              String id = request.header("attempt-id");
              if (id != null) {
                connection.respond(200, id, "hello");
                return;
              }
              connection.send(
                  "HTTP/1.1 400 X\r\nRequest-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nid");
            });
    harness.register(endpoint);
  }

  @AfterEach
  void stop() throws Exception {
    harness.close();
    endpoint.close();
  }

  @Test
  void requestsWithOtherIdsShareOneConnection() throws Exception {
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(harness.call("POST", "/write/a", "id-" + i)).startsWith("HTTP/1.1 200");
    }
    AtomicLong opened = new AtomicLong();
    harness.onLoop(state -> opened.set(state.connectionPool().openedCount()));
    assertThat(opened).hasValue(1);
  }

  private int openConnections() throws Exception {
    AtomicInteger count = new AtomicInteger();
    HostPort address = new HostPort("127.0.0.1", endpoint.port());
    harness.onLoop(state -> count.set(state.connectionPool().openCount(address)));
    return count.get();
  }

  @Test
  void requestsWithOneIdKeepFewConnectionsOpen() throws Exception {
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(harness.call("POST", "/write/a", "same")).startsWith("HTTP/1.1 200");
    }
    assertThat(openConnections()).isLessThanOrEqualTo(MAX_CONNECTIONS);
  }

  private void callWithoutId() throws IOException {
    try (RelayHarness.Caller caller = harness.caller()) {
      caller.send(
          "POST /write/a HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer "
              + RelayHarness.KEY
              + "\r\nConnection: close\r\n\r\n");
      assertThat(caller.readAll()).startsWith("HTTP/1.1 503");
    }
  }

  @Test
  void requestsWithoutIdKeepFewConnectionsOpen() throws Exception {
    for (int i = 0; i < REQUESTS; i++) {
      callWithoutId();
    }
    assertThat(openConnections()).isLessThanOrEqualTo(MAX_CONNECTIONS);
  }
}
