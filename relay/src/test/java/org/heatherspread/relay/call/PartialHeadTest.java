package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An endpoint stops within the head of its response; the caller must not get a success. */
class PartialHeadTest {
  private RelayHarness harness;

  @BeforeEach
  void start() throws Exception {
    harness = RelayHarness.start();
  }

  @AfterEach
  void stop() {
    harness.close();
  }

  private static String head(String id, String framing) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: "
        + id
        + "\r\nServer-Signature: sig\r\n"
        + framing
        + "\r\n\r\n";
  }

  /** Starts an endpoint that sends only as many bytes of a head as the id of the request says. */
  private static FakeEndpoint endpoint(String framing, boolean reset) throws IOException {
    return FakeEndpoint.start(
        (request, connection) -> {
          String id = request.header("attempt-id");
          connection.send(head(id, framing).substring(0, Integer.parseInt(id)));
          if (reset) {
            connection.reset();
          }
          throw new IOException("ends within the head");
        });
  }

  @ParameterizedTest
  @CsvSource({
    "/write/a,Content-Length: 5,false",
    "/write/a,Content-Length: 5,true",
    "/write/a,Transfer-Encoding: chunked,false",
    "/write/a,Connection: close,false",
    "/read/a,Content-Length: 5,false",
    "/draft/a,Transfer-Encoding: chunked,false",
    "/draft/a,Connection: close,true",
    "/reply/a,Connection: close,false"
  })
  void partialHeadIsNoResponse(String path, String framing, boolean reset) throws Exception {
    harness.register(endpoint(framing, reset));
    int length = head("100", framing).length();
    for (int sent = 0; sent < length; sent++) {
      // Leading zeros keep the length of the head the same.
      String response = harness.call("POST", path, String.format("%03d", sent));
      assertThat(response).as("after %s bytes", sent).startsWith("HTTP/1.1 50");
    }
  }

  /** Starts an endpoint that begins a success and then writes a whole failure. */
  private static FakeEndpoint failingWithinHead(String framing) throws IOException {
    return FakeEndpoint.start(
        (request, connection) -> {
          String id = request.header("attempt-id");
          connection.send(head(id, framing).substring(0, Integer.parseInt(id)));
          connection.respond(500, id, "error");
          throw new IOException("ends after the failure");
        });
  }

  /** The status line of the failure must not vanish in the head of the success. */
  @ParameterizedTest
  @CsvSource({
    "/write/a,Content-Length: 5",
    "/write/a,Transfer-Encoding: chunked",
    "/write/a,Connection: close",
    "/read/a,Content-Length: 5",
    "/draft/a,Transfer-Encoding: chunked",
    "/reply/a,Connection: close"
  })
  void failureAfterPartialHeadIsNoSuccess(String path, String framing) throws Exception {
    harness.register(failingWithinHead(framing));
    int length = head("100", framing).length();
    for (int sent = 0; sent < length; sent++) {
      String response = harness.call("POST", path, String.format("%03d", sent));
      assertThat(response).as("after %s bytes", sent).startsWith("HTTP/1.1 50");
    }
  }

  /** A success that follows the first bytes of a failure must not take their place. */
  @ParameterizedTest
  @ValueSource(strings = {"/write/a", "/read/a", "/reply/a"})
  void successAfterPartialHeadOfFailureIsNoResponse(String path) throws Exception {
    String failure = "HTTP/1.1 503 Service Unavailable\r\nServer-Signature: sig\r\n";
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> {
              String id = request.header("attempt-id");
              connection.send(failure.substring(0, Integer.parseInt(id)));
              connection.respond(200, id, "again");
              throw new IOException("ends after the success");
            }));
    for (int sent = 1; sent < failure.length(); sent++) {
      String response = harness.call("POST", path, String.format("%03d", sent));
      assertThat(response).as("after %s bytes", sent).startsWith("HTTP/1.1 50");
    }
  }

  /** A late copy of the response before breaks off, and the response to the request follows. */
  @ParameterizedTest
  @CsvSource({"200,500", "200,404", "500,200", "503,200"})
  void partialCopyDoesNotChangeTheStatusOfTheNextResponse(int copied, int status) throws Exception {
    String copy = "HTTP/1.1 " + copied + " OK\r\nRequest-Not-Executed: 1\r\nAttempt-Id: first\r\n";
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> {
              String id = request.header("attempt-id");
              if (id.equals("first")) {
                connection.respond(200, id, "whole");
                return;
              }
              connection.send(copy.substring(0, Integer.parseInt(id)));
              connection.respond(status, id, "right");
            }));
    for (int sent = 0; sent < copy.length(); sent++) {
      harness.call("POST", "/write/a", "first");
      String response = harness.call("POST", "/write/a", String.format("%03d", sent));
      boolean isRight = response.startsWith("HTTP/1.1 " + status) && response.endsWith("right");
      boolean isFailure = response.startsWith("HTTP/1.1 502") && response.contains("answer-lost");
      assertThat(isRight || isFailure).as("after %s bytes: %s", sent, response).isTrue();
    }
  }
}
