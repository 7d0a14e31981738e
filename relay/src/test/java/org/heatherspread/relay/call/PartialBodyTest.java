package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An endpoint stops within a body and then writes another response on the same connection. The
 * caller must not get the second response as a part of the first one.
 */
class PartialBodyTest {
  private static final String PIECE = "id: 1\ndata: piece-1\n\nid: 2\ndata: pie";

  private RelayHarness harness;

  @BeforeEach
  void start() throws Exception {
    harness = RelayHarness.start();
  }

  @AfterEach
  void stop() {
    harness.close();
  }

  /** Starts an endpoint that breaks a body off and then writes a response of the given status. */
  private static FakeEndpoint breaking(String framing, String part, int status) throws IOException {
    return FakeEndpoint.start(
        (request, connection) -> {
          String id = request.header("attempt-id");
          connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Signature: sig\r\n");
          connection.send(framing + "\r\n\r\n" + part);
          connection.respond(status, id, "x".repeat(300));
          throw new IOException("ends after the second response");
        });
  }

  @ParameterizedTest
  @CsvSource({
    "Content-Length: 200,500",
    "Content-Length: 200,200",
    "Connection: close,500",
    "Connection: close,200"
  })
  void bodyWithAnotherResponseIsNoSuccess(String framing, int status) throws Exception {
    harness.register(breaking(framing, "part", status));
    assertThat(harness.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 502");
  }

  @ParameterizedTest
  @ValueSource(strings = {"id: 1\ndata: piece-1\n\n", PIECE, PIECE + "\n", PIECE + "\r\n"})
  void streamDoesNotGoOnWithAnotherResponse(String part) throws Exception {
    harness.register(breaking("Connection: close", part, 500));
    assertThat(harness.call("POST", "/reply/a", "id-1"))
        .contains("piece-1")
        .containsOnlyOnce("HTTP/1.1")
        .doesNotContain("xxx")
        .doesNotEndWith("0\r\n\r\n");
  }

  /** Text may quote the head of a response. */
  @Test
  void quotedStatusLineIsForwarded() throws Exception {
    String quote = "a response begins with\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> connection.respond(200, request.header("attempt-id"), quote)));
    assertThat(harness.call("POST", "/write/a", "id-1")).endsWith(quote);
  }
}
