package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.heatherspread.core.limit.LimitOwnerClient.Decision;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.FakeEndpoint.Connection;
import org.heatherspread.relay.FakeEndpoint.Request;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An endpoint writes the refusal of a request once more while the same request runs. It must be
 * taken neither for a promise that the request was not executed nor for a reason to send it on.
 */
class CopiedRefusalTest {
  private static final long OWNER_DELAY_MILLIS = 20;
  private static final long COPY_DELAY_MILLIS = 60;
  private static final long RUN_MILLIS = 150;
  private static final double RATE_PER_SECOND = 1_000;

  private final AtomicInteger runs = new AtomicInteger();
  private RelayHarness harness;

  @AfterEach
  void stop() {
    harness.close();
  }

  /** Starts a relay whose limits belong to another daemon, which admits all requests, but late. */
  private void startWithSlowOwner() throws Exception {
    harness =
        RelayHarness.startWithSlowOwner(
            () -> OWNER_DELAY_MILLIS, request -> Decision.decided(OptionalDouble.empty()));
  }

  private static String refusal(int status, String id) {
    return "HTTP/1.1 "
        + status
        + " X\r\nAttempt-Id: "
        + id
        + "\r\nRequest-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
  }

  /** Refuses a request and copies the refusal to the same connection later. */
  private static void refuseTwice(int status, String id, Connection connection) throws Exception {
    connection.send(refusal(status, id));
    Thread copy =
        new Thread(
            () -> {
              try {
                TimeUnit.MILLISECONDS.sleep(COPY_DELAY_MILLIS);
                connection.send(refusal(status, id));
              } catch (IOException | InterruptedException e) {
                // The relay has closed the connection, which is what it may do.
              }
            });
    copy.setDaemon(true);
    copy.start();
  }

  private void run(Request request, Connection connection) throws Exception {
    runs.incrementAndGet();
    String id = request.header("attempt-id");
    TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
    if (request.requestLine().contains("/write/")) {
      connection.respond(200, id, "right");
      return;
    }
    connection.startStream(id);
    connection.sendEvent(1);
    connection.endStream();
  }

  /**
   * Starts an endpoint that has replaced e0 in place: it refuses the requests for e0, whose
   * registration has not lapsed, and runs those for e1.
   */
  private FakeEndpoint startReplacement() throws Exception {
    AtomicReference<FakeEndpoint> self = new AtomicReference<>();
    FakeEndpoint endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              if (request.header("expected-instance").equals("e1")) {
                run(request, connection);
                return;
              }
              harness.register("e1", self.get());
              refuseTwice(421, request.header("attempt-id"), connection);
            });
    self.set(endpoint);
    return endpoint;
  }

  /** Without it the copy came too late for the case. */
  private void assertConnectionAvoided() throws Exception {
    AtomicLong count = new AtomicLong();
    harness.onLoop(state -> count.set(state.connectionPool().avoidedCount()));
    assertThat(count).hasPositiveValue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"/write/a", "/reply/a"})
  void copiedRefusalIsNoPromiseForTheRequestUnderWayAtTheSameAddress(String path) throws Exception {
    startWithSlowOwner();
    harness.register("e0", startReplacement());
    harness.nameLimit("e1", RATE_PER_SECOND);
    assertThat(harness.call("POST", path, "id-1")).startsWith("HTTP/1.1 200");
    assertThat(runs).hasValue(1);
    assertConnectionAvoided();
  }

  @ParameterizedTest
  @ValueSource(strings = {"/write/a", "/reply/a"})
  void copiedRefusalSendsTheRequestUnderWayToNoOtherEndpoint(String path) throws Exception {
    startWithSlowOwner();
    harness.register("e0", startReplacement());
    harness.nameLimit("e1", RATE_PER_SECOND);
    FakeEndpoint other = FakeEndpoint.start(this::run);
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return harness.call("POST", path, "id-1");
              } catch (IOException e) {
                throw new IllegalStateException(e);
              }
            });
    while (runs.get() == 0 && !answer.isDone()) {
      Thread.onSpinWait();
    }
    harness.register("e2", other);
    assertThat(answer.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
    assertThat(runs).hasValue(1);
    assertConnectionAvoided();
  }

  /** Starts an endpoint that refuses the first request and runs later ones. */
  private FakeEndpoint startRefusingFirst(int status) throws Exception {
    Map<String, Boolean> refusedIds = new ConcurrentHashMap<>();
    return FakeEndpoint.start(
        (request, connection) -> {
          String id = request.header("attempt-id");
          if (refusedIds.put(id, true) == null) {
            refuseTwice(status, id, connection);
          } else {
            run(request, connection);
          }
        });
  }

  @ParameterizedTest
  @ValueSource(ints = {408, 421, 429, 503})
  void copiedRefusalIsNoPromiseForRepeatOfCaller(int status) throws Exception {
    harness = RelayHarness.start();
    harness.register(startRefusingFirst(status));
    assertThat(harness.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 503");
    assertThat(harness.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 200");
    assertThat(runs).hasValue(1);
    assertConnectionAvoided();
  }
}
