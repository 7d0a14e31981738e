package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.heatherspread.core.limit.LimitObservation;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.relay.CountingMigrator;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.FixedOwnerClient;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The ways on which requests reach an endpoint whose limit admits nothing. */
class EndpointLimitPathsTest {
  private static final double REFUSED_SECONDS = 30;

  private final AtomicInteger decisions = new AtomicInteger();
  private RelayHarness harness;

  @AfterEach
  void stop() {
    harness.close();
  }

  private final CountingMigrator migrator = new CountingMigrator();

  /** Starts a relay whose endpoint limits belong to another daemon, which admits nothing. */
  private void startWithExhaustedLimits() throws Exception {
    LimitOwnerClient owner =
        new FixedOwnerClient(
            request -> {
              if (request.limit().equals("acme")) {
                return decided(OptionalDouble.empty());
              }
              decisions.incrementAndGet();
              return decided(OptionalDouble.of(REFUSED_SECONDS));
            });
    harness = RelayHarness.start(migrator, owner, "owner");
  }

  private static CompletableFuture<LimitOwnerClient.Decision> decided(OptionalDouble waitSeconds) {
    return CompletableFuture.completedFuture(LimitOwnerClient.Decision.decided(waitSeconds));
  }

  private static LimitObservation limit(String endpoint) {
    return new LimitObservation(endpoint, 1, 0.5, 0);
  }

  private void nameLimit(String endpoint) throws Exception {
    harness.onLoop(state -> state.endpointLimits().merge("d", List.of(limit(endpoint)), 0));
  }

  private static FakeEndpoint soundEndpoint() throws Exception {
    return FakeEndpoint.start(
        (request, connection) ->
            connection.respond(200, request.header("attempt-id"), "hello", "Server-Limit: 0.5"));
  }

  @Test
  void requestIsRefusedAtOnceWhenAllLimitsAreExhausted() throws Exception {
    startWithExhaustedLimits();
    FakeEndpoint endpoint = soundEndpoint();
    harness.register(endpoint);
    assertThat(harness.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 200");
    long startNanos = System.nanoTime();
    assertThat(harness.call("GET", "/read/a", "id-2"))
        .startsWith("HTTP/1.1 503")
        .contains("endpoint-limits")
        .containsIgnoringCase("retry-after");
    assertThat(System.nanoTime() - startNanos).isLessThan(500_000_000L);
    harness.call("GET", "/read/a", "id-3");
    assertThat(endpoint.requests()).hasSize(1);
    assertThat(decisions).hasValue(1);
  }

  @Test
  void requestGoesToAnEndpointWithoutLimit() throws Exception {
    startWithExhaustedLimits();
    FakeEndpoint limited = soundEndpoint();
    FakeEndpoint other =
        FakeEndpoint.start(
            (request, connection) ->
                connection.respond(200, request.header("attempt-id"), "hello"));
    harness.register(limited, other);
    nameLimit("e0");
    for (int i = 0; i < 20; i++) {
      assertThat(harness.call("GET", "/read/a", "id-" + i)).startsWith("HTTP/1.1 200");
    }
    assertThat(limited.requests()).isEmpty();
  }

  /** Names the limit once an attempt has begun, before its connection is open. */
  private static void nameDuringAttempt(RelayState state) {
    if (state.endpoints().get("e0").orElseThrow().running() == 0) {
      state.loop().execute(() -> nameDuringAttempt(state));
      return;
    }
    state.endpointLimits().merge("d", List.of(limit("e0")), 0);
  }

  @Test
  void requestWhoseConnectionOpensWhileTheLimitIsNamedIsNotSent() throws Exception {
    startWithExhaustedLimits();
    FakeEndpoint endpoint = soundEndpoint();
    harness.register(endpoint);
    harness.onLoop(EndpointLimitPathsTest::nameDuringAttempt);
    assertThat(harness.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 503");
    assertThat(endpoint.requests()).isEmpty();
  }

  @Test
  void failedRequestIsNotRetriedAtLimitedEndpoint() throws Exception {
    startWithExhaustedLimits();
    FakeEndpoint failing = FakeEndpoint.start((request, connection) -> connection.reset());
    FakeEndpoint limited = soundEndpoint();
    harness.register(failing, limited);
    nameLimit("e1");
    assertThat(harness.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 502");
    assertThat(failing.requests()).hasSize(1);
    assertThat(limited.requests()).isEmpty();
  }

  @Test
  void streamIsNotMigratedToLimitedEndpoint() throws Exception {
    startWithExhaustedLimits();
    FakeEndpoint source = FakeEndpoint.startSlowStreams();
    FakeEndpoint target = FakeEndpoint.start((request, connection) -> connection.reset());
    harness.register(source);
    nameLimit("e1");
    try (RelayHarness.Caller caller = harness.caller()) {
      caller.request("POST", "/reply/a", "id-1", "Connection: close");
      caller.readUntil("piece-1");
      harness.registerLeaving(source, target);
      assertThat(caller.readAll()).contains("piece-2").endsWith("0\r\n\r\n");
    }
    assertThat(migrator.migrations()).isZero();
    assertThat(target.requests()).isEmpty();
  }

  @Test
  void limitEndsWhenResponsesNoLongerNameIt() throws Exception {
    harness = RelayHarness.start();
    AtomicInteger responses = new AtomicInteger();
    FakeEndpoint endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              String[] headers =
                  responses.incrementAndGet() == 1
                      ? new String[] {"Server-Limit: 2.5"}
                      : new String[0];
              connection.respond(200, request.header("attempt-id"), "hello", headers);
            });
    harness.register(endpoint);
    assertThat(harness.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 200");
    assertThat(harness.call("GET", "/read/a", "id-2")).startsWith("HTTP/1.1 503");
    Thread.sleep(500);
    for (int i = 3; i < 20; i++) {
      assertThat(harness.call("GET", "/read/a", "id-" + i)).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void unreadableLimitIsIgnored() throws Exception {
    harness = RelayHarness.start();
    FakeEndpoint endpoint =
        FakeEndpoint.start(
            (request, connection) ->
                connection.respond(200, request.header("attempt-id"), "hello", "Server-Limit: -1"));
    harness.register(endpoint);
    for (int i = 0; i < 5; i++) {
      assertThat(harness.call("GET", "/read/a", "id-" + i)).startsWith("HTTP/1.1 200");
    }
  }
}
