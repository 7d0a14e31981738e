package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeout;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
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

  /** The second response has no id, and its head ends the event that was broken off. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "id: 2\ndata: pieHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1\t500 X\r\nConnection: close\r\n\r\nerror",
        "id: 2\ndata: pieHTTP/1.1 500 X\nTransfer-Encoding: chunked\n\n"
      })
  void streamDoesNotGoOnWithAnotherResponseWithoutId(String rest) throws Exception {
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> {
              String id = request.header("attempt-id");
              connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n");
              connection.send("Server-Signature: sig\r\n\r\nid: 1\ndata: piece-1\n\n" + rest);
              throw new IOException("ends after the second response");
            }));
    assertThat(harness.call("POST", "/reply/a", "id-1"))
        .contains("piece-1")
        .containsOnlyOnce("HTTP/1.1")
        .doesNotEndWith("0\r\n\r\n");
  }

  /** A refusal that is completed by the response of a run is no promise that there was none. */
  @Test
  void refusalWithAnotherResponseIsNoRefusal() throws Exception {
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> {
              String id = request.header("attempt-id");
              connection.send("HTTP/1.1 503 X\r\nAttempt-Id: " + id + "\r\n");
              connection.send("Request-Not-Executed: 1\r\nContent-Length: 120\r\n\r\nfu");
              connection.respond(200, id, "x".repeat(100));
              throw new IOException("ends after the second response");
            }));
    assertThat(harness.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 502");
  }

  /** A body that repeats a status line without end must not occupy the event loop. */
  @Test
  void repeatedStatusLinesAreScannedOnce() {
    JoinedContent detector = JoinedContent.create("Attempt-Id");
    byte[] body = "HTTP/1.1 200\r\n".repeat(1 << 18).getBytes(StandardCharsets.US_ASCII);
    assertTimeout(Duration.ofSeconds(2), () -> assertThat(detector.isJoinedBody(body)).isFalse());
  }

  /** A request that is quoted with the id of the present one is no response. */
  @Test
  void quotedRequestIsForwarded() throws Exception {
    String quote = "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id-1\r\n\r\n";
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> connection.respond(200, request.header("attempt-id"), quote)));
    assertThat(harness.call("POST", "/write/a", "id-1")).endsWith(quote);
  }

  /** What the body has of the second response could be text; the bytes after it tell. */
  @ParameterizedTest
  @ValueSource(ints = {5, 24, 40})
  void bodyThatEndsWithinAnotherHeadIsNoSuccess(int missing) throws Exception {
    harness.register(breaking("Content-Length: " + (4 + missing), "part", 500));
    assertThat(harness.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 502");
  }

  /** A body that ends like this is whole if nothing follows. */
  @Test
  void bodyThatQuotesTheBeginOfHeadIsForwarded() throws Exception {
    String quote = "the first line was HTTP/1.1 200 OK";
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> connection.respond(200, request.header("attempt-id"), quote)));
    assertThat(harness.call("POST", "/write/a", "id-1")).endsWith(quote);
  }
}
