package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.stream.Stream;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A late second copy of a response breaks off within its head, and the response to the next request
 * follows on the connection. The caller must not get the status of one with the rest of the other.
 */
class JoinedHeadTest {
  private static String response(int status, String id, String headers, String body) {
    return "HTTP/1.1 "
        + status
        + " X\r\n"
        + headers.replace("ID", id)
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static Stream<String> headers() {
    return Stream.of(
        "Attempt-Id: ID\r\nServer-Signature: sig-ID\r\n",
        "Content-Type: text/plain\r\nServer-Signature: sig-ID\r\nAttempt-Id: ID\r\n");
  }

  /** Starts an endpoint that answers the first request, and the second one after a cut copy. */
  private static FakeEndpoint endpoint(String copy, int status, String headers) throws Exception {
    return FakeEndpoint.start(
        (request, connection) -> {
          String id = request.header("attempt-id");
          if (id.equals("first")) {
            connection.send(response(404, id, headers, "first"));
            return;
          }
          connection.send(copy + response(status, id, headers, "second"));
          throw new IOException("ends after the response");
        });
  }

  private void assertNoMixedStatus(int copiedStatus, int status, String headers) throws Exception {
    String copy = response(copiedStatus, "first", headers, "");
    for (int length = 1; length < copy.length(); length++) {
      try (RelayHarness harness = RelayHarness.start();
          FakeEndpoint endpoint = endpoint(copy.substring(0, length), status, headers)) {
        harness.register(endpoint);
        harness.call("POST", "/write/a", "first");
        String answer = harness.call("POST", "/write/a", "second");
        String line = answer.substring(0, 12);
        assertThat(line)
            .as("cut after %s", length)
            .isIn("HTTP/1.1 " + status, "HTTP/1.1 502", "HTTP/1.1 504");
      }
    }
  }

  @ParameterizedTest
  @MethodSource("headers")
  void failureIsNoSuccessAfterPartOfAnotherHead(String headers) throws Exception {
    assertNoMixedStatus(200, 500, headers);
  }

  @ParameterizedTest
  @MethodSource("headers")
  void successIsNoFailureAfterPartOfAnotherHead(String headers) throws Exception {
    assertNoMixedStatus(500, 200, headers);
  }
}
