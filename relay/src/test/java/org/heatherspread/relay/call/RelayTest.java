package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.engine.StreamMigrator;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayRig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The relay over real sockets against endpoints that misbehave. */
class RelayTest {
  private RelayRig rig;

  @BeforeEach
  void start() throws Exception {
    rig = RelayRig.start();
  }

  @AfterEach
  void stop() {
    rig.close();
  }

  private static FakeEndpoint endpoint(FakeEndpoint.Script script) throws Exception {
    return FakeEndpoint.start(script);
  }

  private static final String NOT_RUN =
      "HTTP/1.1 503 X\r\nRequest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

  private static FakeEndpoint healthy() throws Exception {
    return endpoint((request, out) -> out.answer(200, request.header("attempt-id"), "hello"));
  }

  @Test
  void passesAnAnswerOnUnchangedAndSetsWhatOnlyTheSystemMaySet() throws Exception {
    FakeEndpoint endpoint = healthy();
    rig.register(endpoint);
    String answer =
        rig.call("GET", "/read/a?b=c", "id-1", "Tenant-Name: forged", "Kv-From: 1.2.3.4:1/x");
    assertThat(answer).startsWith("HTTP/1.1 200").contains("sig-id-1").endsWith("hello");
    FakeEndpoint.Request request = endpoint.requests().get(0);
    assertThat(request.line()).isEqualTo("GET /read/a?b=c HTTP/1.1");
    assertThat(request.header("tenant-name")).isEqualTo("acme");
    assertThat(request.header("expected-instance")).isEqualTo("e0");
    assertThat(request.header("authorization")).isNull();
    assertThat(request.header("kv-from")).isNull();
    assertThat(Integer.parseInt(request.header("deadline-remaining"))).isBetween(700, 800);
  }

  @Test
  void sendsWhatMayRunOnceToOneEndpointOnlyWhenItsAnswerIsLost() throws Exception {
    FakeEndpoint first = endpoint((request, out) -> out.reset());
    FakeEndpoint second = endpoint((request, out) -> out.reset());
    rig.register(first, second);
    assertThat(rig.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  @Test
  void goesToAnotherEndpointWhenOneStatesThatItHasNotRunTheRequest() throws Exception {
    FakeEndpoint.Script script =
        (request, out) ->
            out.send("HTTP/1.1 503 X\r\nRequest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    FakeEndpoint full = endpoint(script);
    FakeEndpoint healthy = healthy();
    rig.register(full, healthy);
    for (int i = 0; i < 6; i++) {
      assertThat(rig.call("POST", "/write/a", "id-" + i)).startsWith("HTTP/1.1 200");
    }
    assertThat(full.requests()).isNotEmpty();
  }

  @Test
  void tellsWhenToComeBackWhenAllEndpointsRefuse() throws Exception {
    FakeEndpoint.Script script =
        (request, out) ->
            out.send("HTTP/1.1 503 X\r\nRequest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    rig.register(endpoint(script), endpoint(script));
    String answer = rig.call("POST", "/write/a", "id-1");
    assertThat(answer).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: 0.");
  }

  @Test
  void neverPassesOnRefusalsThatTheEndpointDidNotMeanAsNotRun() throws Exception {
    rig.register(endpoint((request, out) -> out.answer(503, request.header("attempt-id"), "")));
    assertThat(rig.call("POST", "/write/a", "id-1"))
        .startsWith("HTTP/1.1 502")
        .doesNotContain("sig");
  }

  @Test
  void repeatsAnIdempotentRequestOnceAfterAnError() throws Exception {
    FakeEndpoint failing =
        endpoint((request, out) -> out.answer(500, request.header("attempt-id"), "no"));
    FakeEndpoint healthy = healthy();
    rig.register(failing, healthy);
    for (int i = 0; i < 6; i++) {
      assertThat(rig.call("GET", "/read/a", "id-" + i)).startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void skipsAnAnswerToAnotherRequest() throws Exception {
    rig.register(
        endpoint(
            (request, out) -> {
              out.answer(200, "other", "wrong");
              out.answer(200, request.header("attempt-id"), "right");
            }));
    assertThat(rig.call("POST", "/write/a", "id-1")).endsWith("right").doesNotContain("wrong");
  }

  @Test
  void treatsAnAnswerThatEndsEarlyAsLost() throws Exception {
    FakeEndpoint.Script script =
        (request, out) -> {
          out.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("attempt-id"));
          out.send("\r\nServer-Signature: s\r\nContent-Length: 50\r\n\r\nhalf");
          throw new IllegalStateException("cut");
        };
    rig.register(endpoint(script));
    assertThat(rig.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 502");
  }

  @Test
  void goesOnWithStreamsElsewhereAfterTheLastWholeEvent() throws Exception {
    FakeEndpoint.Script script =
        (request, out) -> {
          out.beginStream(request.header("attempt-id"));
          String last = request.header("last-event-id");
          int next = last == null ? 1 : Integer.parseInt(last) + 1;
          if (last == null) {
            out.event(1);
            out.event(2);
            out.chunk("id: 3\nda");
            out.reset();
          }
          for (int i = next; i <= 5; i++) {
            out.event(i);
          }
          out.endStream();
        };
    rig.register(endpoint(script), endpoint(script));
    String answer = rig.call("POST", "/draft/a", "id-1");
    assertThat(answer).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n");
    assertThat(answer.split("data: piece-", -1)).hasSize(6);
    for (int i = 1; i <= 5; i++) {
      assertThat(answer.split("data: piece-" + i + "\n", -1)).hasSize(2);
    }
  }

  @Test
  void showsThatStreamsAreIncompleteWhereTheyMayNotGoOn() throws Exception {
    FakeEndpoint endpoint =
        endpoint(
            (request, out) -> {
              out.beginStream(request.header("attempt-id"));
              out.event(1);
              out.reset();
            });
    rig.register(endpoint, endpoint);
    String answer = rig.call("POST", "/reply/a", "id-1");
    assertThat(answer).contains("piece-1").doesNotContain("0\r\n\r\n");
    assertThat(endpoint.requests()).hasSize(1);
  }

  @Test
  void freesTheEndpointWhenTheCallerLeaves() throws Exception {
    FakeEndpoint[] self = new FakeEndpoint[1];
    self[0] = endpoint((request, out) -> self[0].awaitClose(out));
    rig.register(self[0]);
    RelayRig.Caller caller = rig.caller();
    caller.request("POST", "/reply/a", "id-1", "A: b");
    while (self[0].requests().isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    final long left = System.nanoTime();
    caller.close();
    while (self[0].closedNanos().isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    long took = self[0].closedNanos().get(0) - left;
    assertThat(took).isLessThan(TimeUnit.MILLISECONDS.toNanos(500));
  }

  @Test
  void answersAtTheRoutesTimeOutWhenTheEndpointIsSilent() throws Exception {
    FakeEndpoint[] self = new FakeEndpoint[1];
    self[0] = endpoint((request, out) -> self[0].awaitClose(out));
    rig.register(self[0]);
    final long start = System.nanoTime();
    assertThat(rig.call("POST", "/write/a", "id-1")).startsWith("HTTP/1.1 504");
    long took = System.nanoTime() - start;
    assertThat(took)
        .isBetween(TimeUnit.MILLISECONDS.toNanos(700), TimeUnit.MILLISECONDS.toNanos(1_300));
  }

  @Test
  void refusesUnknownRoutesAndKeysAndKeysThatAreTooOld() throws Exception {
    assertThat(rig.call("GET", "/none/a", "id-1")).startsWith("HTTP/1.1 404");
    try (RelayRig.Caller caller = rig.caller()) {
      caller.send("GET /read/a HTTP/1.1\r\nHost: x.example\r\nConnection: close\r\n\r\n");
      assertThat(caller.readAll()).startsWith("HTTP/1.1 401");
    }
    TimeUnit.MILLISECONDS.sleep(4_100);
    assertThat(rig.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 503");
  }

  @Test
  void saysThatNothingRanWhenNoEndpointCanBeConnectedTo() throws Exception {
    RegisteredEndpoint gone =
        new RegisteredEndpoint(
            "e9", "s", new HostPort("127.0.0.1", 1), "a", 6, false, false, -1, 1);
    rig.onLoop(state -> state.endpoints().put(gone));
    assertThat(rig.call("POST", "/write/a", "id-1"))
        .startsWith("HTTP/1.1 503")
        .containsIgnoringCase("retry-after");
  }

  @Test
  void refusesAmbiguousFraming() throws Exception {
    FakeEndpoint endpoint = healthy();
    rig.register(endpoint);
    try (RelayRig.Caller caller = rig.caller()) {
      caller.send(
          "POST /write/a HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer key-1\r\n"
              + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
      caller.send("GET /read/a HTTP/1.1\r\nHost: x.example\r\n\r\n");
      assertThat(caller.readAll()).startsWith("HTTP/1.1 400").doesNotContain("200");
    }
    assertThat(endpoint.requests()).isEmpty();
  }

  @Test
  void refusesWhatIsOverTheAccountsLimitAndSaysWhenToComeBack() throws Exception {
    rig.register(healthy());
    rig.onLoop(state -> state.offer(RelayRig.config(2, 1_000)));
    String last = "";
    for (int i = 0; i < 20 && !last.startsWith("HTTP/1.1 429"); i++) {
      last = rig.call("GET", "/read/a", "id-" + i, "Token-Counts: 300,100");
    }
    assertThat(last).startsWith("HTTP/1.1 429").containsIgnoringCase("retry-after: ");
  }

  /** A stream that may not be resumed survives the announced end of its endpoint. */
  @Test
  void movesStreamsAwayFromEndpointsThatLeave() throws Exception {
    rig.close();
    FakeEndpoint[] source = new FakeEndpoint[1];
    List<FakeEndpoint.Connection> running = new CopyOnWriteArrayList<>();
    StreamMigrator moves =
        new StreamMigrator() {
          @Override
          public CompletableFuture<Optional<String>> migrate(
              HostPort from, String requestId, HostPort to) {
            try {
              running.get(0).reset();
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
            return CompletableFuture.supplyAsync(
                () -> Optional.of(from + "/h-" + requestId),
                CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS));
          }

          @Override
          public void discardCopy(HostPort from, String copy) {}
        };
    rig = RelayRig.start(moves);
    source[0] =
        endpoint(
            (request, out) -> {
              out.beginStream(request.header("attempt-id"));
              out.event(1);
              out.event(2);
              running.add(out);
              source[0].awaitClose(out);
            });
    FakeEndpoint target =
        endpoint(
            (request, out) -> {
              out.beginStream(request.header("attempt-id"));
              out.event(3);
              out.endStream();
            });
    rig.register(source[0]);
    try (RelayRig.Caller caller = rig.caller()) {
      caller.request("POST", "/reply/a", "id-1", "Connection: close");
      caller.readUntil("piece-2");
      rig.registerLeaving(source[0], target);
      String rest = caller.readAll();
      assertThat(rest).contains("piece-3").endsWith("0\r\n\r\n");
    }
    FakeEndpoint.Request moved = target.requests().get(0);
    assertThat(moved.header("kv-from")).endsWith("/h-id-1");
    assertThat(moved.header("last-event-id")).isEqualTo("2");
  }

  /** A caller that reads slowly gets all of a stream that another endpoint went on with. */
  @Test
  void slowCallersGetTheWholeOfStreamsThatWentOnElsewhere() throws Exception {
    int events = 2_000;
    String padding = "x".repeat(5_000);
    FakeEndpoint.Script script =
        (request, out) -> {
          out.beginStream(request.header("attempt-id"));
          if (request.header("last-event-id") == null) {
            out.event(1);
            out.reset();
          }
          for (int i = 2; i <= events; i++) {
            out.chunk("id: " + i + "\ndata: piece-" + i + padding + "\n\n");
          }
          out.endStream();
        };
    rig.register(endpoint(script), endpoint(script));
    try (RelayRig.Caller caller = rig.caller()) {
      caller.request("POST", "/draft/a", "id-1", "Connection: close");
      TimeUnit.MILLISECONDS.sleep(700);
      String all = caller.readAll();
      assertThat(all).contains("piece-" + events).endsWith("0\r\n\r\n");
    }
  }

  /** A stream that may not be resumed and whose copy is refused is not sent anywhere again. */
  @Test
  void sendsNoStreamAgainWhoseCopyWasRefused() throws Exception {
    rig.close();
    FakeEndpoint[] source = new FakeEndpoint[1];
    StreamMigrator moves =
        new StreamMigrator() {
          @Override
          public CompletableFuture<Optional<String>> migrate(
              HostPort from, String requestId, HostPort to) {
            return CompletableFuture.completedFuture(Optional.of(from + "/h"));
          }

          @Override
          public void discardCopy(HostPort from, String copy) {}
        };
    rig = RelayRig.start(moves);
    source[0] =
        endpoint(
            (request, out) -> {
              out.beginStream(request.header("attempt-id"));
              out.event(1);
              source[0].awaitClose(out);
            });
    FakeEndpoint target =
        endpoint(
            (request, out) -> {
              TimeUnit.MILLISECONDS.sleep(300);
              out.send(NOT_RUN);
            });
    FakeEndpoint third = healthy();
    rig.register(source[0]);
    try (RelayRig.Caller caller = rig.caller()) {
      caller.request("POST", "/once/a", "id-1", "Connection: close");
      caller.readUntil("piece-1");
      rig.registerLeaving(source[0], target);
      RegisteredEndpoint other =
          new RegisteredEndpoint(
              "e2", "s", new HostPort("127.0.0.1", third.port()), "a", 1, false, false, -1, 1);
      for (int i = 0; i < 1_000 && target.requests().isEmpty(); i++) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      assertThat(target.requests()).hasSize(1);
      rig.onLoop(state -> state.endpoints().put(other));
      assertThat(caller.readAll()).doesNotContain("0\r\n\r\n");
    }
    assertThat(third.requests()).isEmpty();
  }
}
