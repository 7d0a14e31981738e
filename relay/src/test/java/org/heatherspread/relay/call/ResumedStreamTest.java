package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.engine.StreamMigrator;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs that go on with a stream. Whatever they answer, the caller receives the events that follow
 * those it has, or a stream that is seen to be cut.
 */
class ResumedStreamTest {
  private static final String END = "0\r\n\r\n";
  private static final String EVENT_WITHOUT_ID = "data: piece-x\n\n";

  private RelayHarness harness;

  @BeforeEach
  void start() throws Exception {
    harness = RelayHarness.start();
  }

  @AfterEach
  void stop() {
    harness.close();
  }

  private static boolean isResumed(FakeEndpoint.Request request) {
    return request.header("last-event-id") != null;
  }

  /** Starts an endpoint whose streams have an event with the given id, and the next one. */
  private static FakeEndpoint startingAt(int id) throws IOException {
    return FakeEndpoint.start(
        (request, connection) -> {
          connection.startStream(request.header("attempt-id"));
          connection.sendEvent(id);
          connection.sendEvent(id + 1);
          connection.endStream();
        });
  }

  /**
   * Starts an endpoint whose streams break after two events, and that runs the script if it is to
   * go on with one.
   */
  private static FakeEndpoint breaking(FakeEndpoint.Script resumption) throws IOException {
    return FakeEndpoint.start(
        (request, connection) -> {
          if (isResumed(request)) {
            resumption.respond(request, connection);
            return;
          }
          connection.startStream(request.header("attempt-id"));
          connection.sendEvent(1);
          connection.sendEvent(2);
          TimeUnit.MILLISECONDS.sleep(20);
          connection.reset();
        });
  }

  /** Calls a stream that breaks after two events, of which the script is to go on. */
  private String callBroken(FakeEndpoint.Script resumption) throws Exception {
    harness.register(breaking(resumption), breaking(resumption));
    return harness.call("POST", "/draft/a", "id-1");
  }

  private static void assertCutAfterTwoEvents(String response) {
    assertThat(response).startsWith("HTTP/1.1 200").contains("piece-1").endsWith("piece-2\n\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4, 5, 7, 20})
  void callersStreamDoesNotGoOnWithOtherThanTheNextEvent(int first) throws Exception {
    harness.register(startingAt(first));
    assertThat(harness.call("POST", "/draft/a", "id-1", "Last-Event-Id: 5"))
        .startsWith("HTTP/1.1 502")
        .doesNotContain("piece");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 4, 20})
  void brokenStreamDoesNotGoOnWithOtherThanTheNextEvent(int first) throws Exception {
    String response =
        callBroken(
            (request, connection) -> {
              connection.startStream(request.header("attempt-id"));
              connection.sendEvent(first);
              connection.endStream();
            });
    assertCutAfterTwoEvents(response);
  }

  @Test
  void callersStreamGoesOnAtAnotherEndpointIfOneGoesBack() throws Exception {
    FakeEndpoint faulty = startingAt(1);
    harness.register(faulty, startingAt(6));
    for (int i = 0; i < 8; i++) {
      assertThat(harness.call("POST", "/draft/a", "id-" + i, "Last-Event-Id: 5"))
          .contains("piece-6")
          .doesNotContain("piece-1")
          .endsWith(END);
    }
    assertThat(faulty.requests()).isNotEmpty();
  }

  @Test
  void eventWithoutAnIdDoesNotFollowOneWithAnId() throws Exception {
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> {
              connection.startStream(request.header("attempt-id"));
              connection.sendEvent(1);
              connection.sendChunk(EVENT_WITHOUT_ID);
              connection.endStream();
            }));
    assertThat(harness.call("POST", "/reply/a", "id-1"))
        .contains("piece-1")
        .doesNotContain("piece-x")
        .doesNotEndWith(END);
  }

  @Test
  void streamDoesNotGoOnWithAnEventWithoutAnId() throws Exception {
    FakeEndpoint.Script script =
        (request, connection) -> {
          connection.startStream(request.header("attempt-id"));
          connection.sendChunk(EVENT_WITHOUT_ID);
          connection.endStream();
        };
    assertCutAfterTwoEvents(callBroken(script));
    harness.register(FakeEndpoint.start(script));
    assertThat(harness.call("POST", "/draft/a", "id-2", "Last-Event-Id: 5"))
        .startsWith("HTTP/1.1 502");
  }

  /** Without ids, no run can tell where the one before ended. */
  @Test
  void brokenStreamWithoutIdsIsNotRunAgain() throws Exception {
    FakeEndpoint.Script script =
        (request, connection) -> {
          connection.startStream(request.header("attempt-id"));
          connection.sendChunk(EVENT_WITHOUT_ID);
          TimeUnit.MILLISECONDS.sleep(20);
          connection.reset();
        };
    FakeEndpoint first = FakeEndpoint.start(script);
    FakeEndpoint second = FakeEndpoint.start(script);
    harness.register(first, second);
    assertThat(harness.call("POST", "/draft/a", "id-1")).containsOnlyOnce("piece-x");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  @Test
  void commentsDoNotInterruptEvents() throws Exception {
    harness.register(
        FakeEndpoint.start(
            (request, connection) -> {
              connection.startStream(request.header("attempt-id"));
              connection.sendEvent(1);
              connection.sendChunk(": alive\n\n");
              connection.sendEvent(2);
              connection.endStream();
            }));
    assertThat(harness.call("POST", "/draft/a", "id-1"))
        .contains("piece-1", ": alive", "piece-2")
        .endsWith(END);
  }

  /** Nothing tells whether the last event of the broken run was the last one of the stream. */
  @Test
  void runWithoutEventsDoesNotCompleteTheStream() throws Exception {
    String response =
        callBroken(
            (request, connection) -> {
              connection.startStream(request.header("attempt-id"));
              connection.endStream();
            });
    assertCutAfterTwoEvents(response);
  }

  /** The status, head and body of a failed resumption must not appear within the stream. */
  @ParameterizedTest
  @ValueSource(ints = {201, 204, 302, 400, 404, 408, 409, 413, 429, 500, 502, 503, 504})
  void failedResumptionCutsTheStream(int status) throws Exception {
    String response =
        callBroken(
            (request, connection) ->
                connection.respond(
                    status, request.header("attempt-id"), status == 204 ? "" : "error"));
    assertCutAfterTwoEvents(response);
    assertThat(response).containsOnlyOnce("HTTP/1.1").doesNotContain("error");
  }

  /** The source of a migration stops its run before the stream is complete. */
  @Test
  void streamWithoutLengthThatEndsInItsMigrationIsNotComplete() throws Exception {
    harness.close();
    FakeEndpoint.Connection[] running = new FakeEndpoint.Connection[1];
    harness = RelayHarness.start(closingMigrator(running));
    FakeEndpoint source =
        FakeEndpoint.start(
            (request, connection) -> {
              connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("attempt-id"));
              connection.send("\r\nServer-Signature: sig\r\n\r\nid: 1\ndata: piece-1\n\n");
              running[0] = connection;
              TimeUnit.SECONDS.sleep(2);
            });
    harness.register(source);
    try (RelayHarness.Caller caller = harness.caller()) {
      caller.request("POST", "/reply/a", "id-1", "Connection: close");
      caller.readUntil("piece-1");
      harness.registerLeaving(source, startingAt(2));
      assertThat(caller.readAll()).contains("piece-2").contains("piece-3").endsWith(END);
    }
  }

  private static StreamMigrator closingMigrator(FakeEndpoint.Connection[] running) {
    return new StreamMigrator() {
      @Override
      public CompletableFuture<Optional<String>> migrate(
          HostPort from, String requestId, HostPort to) {
        try {
          running[0].socket().close();
        } catch (IOException e) {
          return CompletableFuture.failedFuture(e);
        }
        return CompletableFuture.supplyAsync(
            () -> Optional.of(from + "/h"),
            CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS));
      }

      @Override
      public void discardCopy(HostPort from, String copy) {}
    };
  }

  @ParameterizedTest
  @ValueSource(strings = {"five", "-1", "5x", "1e3", "99999999999999999999"})
  void eventIdThatIsNoNumberIsRejected(String eventId) throws Exception {
    FakeEndpoint endpoint = startingAt(6);
    harness.register(endpoint);
    assertThat(harness.call("POST", "/draft/a", "id-1", "Last-Event-Id: " + eventId))
        .startsWith("HTTP/1.1 400")
        .contains("invalid-event-id");
    assertThat(endpoint.requests()).isEmpty();
  }
}
