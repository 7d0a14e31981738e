package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A faulty endpoint writes an earlier response once more on a kept connection. The next request on
 * it must get neither that response nor a promise that it was not executed.
 */
class RepeatedResponseTest {
  private RelayHarness harness;

  @BeforeEach
  void start() throws Exception {
    harness = RelayHarness.start();
  }

  @AfterEach
  void stop() {
    harness.close();
  }

  private static String refusal(String idLine) {
    return "HTTP/1.1 503 X\r\n"
        + idLine
        + "Request-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
  }

  /**
   * Refuses its first request; at the second one, writes the refusal again and then the response.
   */
  private static FakeEndpoint refusingTwice(String idLine, long pauseMillis) throws Exception {
    return FakeEndpoint.start(
        (request, connection) -> {
          String id = request.header("attempt-id");
          if (id.equals("first")) {
            connection.send(refusal("Attempt-Id: first\r\n"));
            return;
          }
          connection.send(refusal(idLine));
          TimeUnit.MILLISECONDS.sleep(pauseMillis);
          connection.respond(200, id, "right");
        });
  }

  private static Stream<Long> pauses() {
    return Stream.of(0L, 100L, 600L);
  }

  private void assertNextRequestIsAnswered(String idLine, long pauseMillis) throws Exception {
    harness.register(refusingTwice(idLine, pauseMillis));
    assertThat(harness.call("POST", "/write/a", "first")).startsWith("HTTP/1.1 503");
    assertThat(harness.call("POST", "/write/a", "second")).startsWith("HTTP/1.1 200");
  }

  @ParameterizedTest
  @MethodSource("pauses")
  void repeatedRefusalIsNoPromiseForTheNextRequest(long pauseMillis) throws Exception {
    assertNextRequestIsAnswered("Attempt-Id: first\r\n", pauseMillis);
  }

  /** An endpoint that lost the id of a repeated refusal must not be believed either. */
  @ParameterizedTest
  @MethodSource("pauses")
  void repeatedRefusalWithoutIdIsNoPromiseForTheNextRequest(long pauseMillis) throws Exception {
    assertNextRequestIsAnswered("", pauseMillis);
  }

  /** The request ran, so it is not sent to a second endpoint because of the repeated refusal. */
  @Test
  void repeatedRefusalSendsNoRequestToOtherEndpoints() throws Exception {
    FakeEndpoint one = refusingTwice("", 50);
    FakeEndpoint other = refusingTwice("", 50);
    harness.register(one, other);
    assertThat(harness.call("POST", "/write/a", "first")).startsWith("HTTP/1.1 503");
    int before = one.requests().size() + other.requests().size();
    assertThat(harness.call("POST", "/write/a", "second")).startsWith("HTTP/1.1 200");
    assertThat(one.requests().size() + other.requests().size()).isEqualTo(before + 1);
  }

  private static Stream<Integer> splits() {
    return IntStream.range(1, refusal("Attempt-Id: first\r\n").length()).boxed();
  }

  /** A part of the repeated refusal arrives while the connection is idle, the rest in its use. */
  @ParameterizedTest
  @MethodSource("splits")
  void repeatedRefusalMayBeSplitAtAnyByte(int split) throws Exception {
    String repeated = refusal("Attempt-Id: first\r\n");
    FakeEndpoint endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              String id = request.header("attempt-id");
              if (id.equals("first")) {
                connection.send(refusal("Attempt-Id: first\r\n"));
                TimeUnit.MILLISECONDS.sleep(15);
                connection.send(repeated.substring(0, split));
                return;
              }
              connection.send(repeated.substring(split));
              connection.respond(200, id, "right");
            });
    harness.register(endpoint);
    assertThat(harness.call("POST", "/write/a", "first")).startsWith("HTTP/1.1 503");
    TimeUnit.MILLISECONDS.sleep(25);
    String response = harness.call("POST", "/write/a", "second");
    assertThat(response.startsWith("HTTP/1.1 200") || response.startsWith("HTTP/1.1 502")).isTrue();
    assertThat(response).doesNotContain("full");
  }

  /** A late second response must not turn a failure into a success. */
  @ParameterizedTest
  @ValueSource(ints = {400, 404, 500, 502, 504})
  void failureWithoutIdIsNotSkippedForLaterSuccess(int status) throws Exception {
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> {
              String id = request.header("attempt-id");
              if (id.equals("second")) {
                connection.send("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nno");
              }
              connection.respond(200, id, "right");
            }));
    assertThat(harness.call("POST", "/write/a", "first")).startsWith("HTTP/1.1 200");
    assertThat(harness.call("POST", "/write/a", "second")).startsWith("HTTP/1.1 502");
  }
}
