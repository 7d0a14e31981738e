package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.stream.StreamOrigin;
import org.heatherspread.relay.CountingMigrator;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Streams at an endpoint that was replaced in place, possibly by another version, which its
 * registration does not say yet.
 */
class StoppedEndpointPathsTest {
  private static final long STARTED = 1;
  private static final int SETTLING_MILLIS = 100;
  private static final String[] RESUMPTION = {"Resumes: id-1", "Last-Event-Id: 1"};

  private RelayHarness harness;

  @BeforeEach
  void start() throws Exception {
    harness = RelayHarness.start(new CountingMigrator());
    harness.onLoop(
        state -> state.streamOrigins().record("id-1", new StreamOrigin("s", "v1"), 10_000));
  }

  @AfterEach
  void stop() {
    harness.close();
  }

  private void register(String id, int port, String version, long startedAtMillis)
      throws Exception {
    HostPort address = new HostPort("127.0.0.1", port);
    RegisteredEndpoint registration =
        new RegisteredEndpoint(
            id, "s", address, "a", 6, false, false, -1, version, startedAtMillis);
    harness.onLoop(state -> state.endpoints().put(registration));
  }

  private static FakeEndpoint soundEndpoint(int lastEvent) throws Exception {
    return soundEndpoint(0, lastEvent);
  }

  private static FakeEndpoint soundEndpoint(int port, int lastEvent) throws Exception {
    return FakeEndpoint.start(
        port,
        (request, connection) -> {
          String lastEventId = request.header("last-event-id");
          connection.startStream(request.header("attempt-id"));
          int first = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
          for (int event = first; event <= lastEvent; event++) {
            connection.sendEvent(event);
          }
          connection.endStream();
        });
  }

  private void reportStopped(String id) throws Exception {
    reportStopped(id, 0);
  }

  private void reportStopped(String id, long ageMillis) throws Exception {
    EndpointIncarnation stopped = new EndpointIncarnation(id, STARTED);
    harness.onLoop(state -> state.mergeStopped(stopped, "other-daemon", ageMillis));
  }

  private void assertStopped(String id, boolean stopped) throws Exception {
    harness.onLoop(
        state ->
            assertThat(state.endpoints().get(id).orElseThrow().hasStopped()).isEqualTo(stopped));
  }

  @Test
  void streamIsNotResumedAtAnEndpointThatRefusedConnections() throws Exception {
    FakeEndpoint first = soundEndpoint(3);
    register("e0", first.port(), "v1", STARTED);
    first.close();
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION)).startsWith("HTTP/1.1 503");
    FakeEndpoint replacement = soundEndpoint(first.port(), 3);
    assertThat(harness.call("POST", "/draft/a", "id-3", RESUMPTION))
        .startsWith("HTTP/1.1 503")
        .contains("stream-version-gone")
        .containsIgnoringCase("retry-after");
    assertThat(replacement.requests()).isEmpty();
  }

  @Test
  void streamIsNotResumedAtAnEndpointThatHasStoppedAccordingToAnotherDaemon() throws Exception {
    FakeEndpoint replacement = soundEndpoint(3);
    register("e0", replacement.port(), "v1", STARTED);
    reportStopped("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION))
        .startsWith("HTTP/1.1 503")
        .contains("stream-version-gone");
    assertThat(replacement.requests()).isEmpty();
  }

  @Test
  void streamIsResumedOnceTheNextIncarnationIsRegisteredWithItsVersion() throws Exception {
    FakeEndpoint endpoint = soundEndpoint(3);
    register("e0", endpoint.port(), "v1", STARTED);
    reportStopped("e0");
    register("e0", endpoint.port(), "v1", STARTED + 1);
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION))
        .startsWith("HTTP/1.1 200")
        .contains("piece-3");
  }

  @Test
  void streamIsResumedAtAnEndpointThatDidNotStop() throws Exception {
    FakeEndpoint stopped = soundEndpoint(3);
    register("e0", stopped.port(), "v1", STARTED);
    FakeEndpoint running = soundEndpoint(3);
    register("e1", running.port(), "v1", STARTED);
    reportStopped("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION))
        .startsWith("HTTP/1.1 200")
        .contains("piece-3");
    assertThat(stopped.requests()).isEmpty();
  }

  /** A report on an earlier incarnation says nothing of the registered one. */
  @Test
  void reportOnAnEarlierIncarnationIsIgnored() throws Exception {
    FakeEndpoint endpoint = soundEndpoint(3);
    register("e0", endpoint.port(), "v1", STARTED + 1);
    reportStopped("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION)).startsWith("HTTP/1.1 200");
  }

  @Test
  void streamThatBeginsAtAnUnregisteredIncarnationDoesNotContinueAtTheFormerVersion()
      throws Exception {
    FakeEndpoint replacement = soundEndpoint(2);
    register("e0", replacement.port(), "v1", STARTED);
    reportStopped("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2")).startsWith("HTTP/1.1 200");
    FakeEndpoint former = soundEndpoint(4);
    register("e1", former.port(), "v1", STARTED);
    assertThat(harness.call("POST", "/draft/a", "id-3", "Resumes: id-2", "Last-Event-Id: 2"))
        .startsWith("HTTP/1.1 503");
    assertThat(former.requests()).isEmpty();
  }

  /**
   * Another daemon's report arrives while the resumed run has not sent its first event yet: the
   * endpoint stopped before this daemon connected to its replacement.
   */
  @Test
  void eventsOfAnIncarnationThatIsReportedMeanwhileAreNotForwarded() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch reported = new CountDownLatch(1);
    FakeEndpoint replacement =
        FakeEndpoint.start(
            (request, connection) -> {
              connection.startStream(request.header("attempt-id"));
              received.countDown();
              reported.await(10, TimeUnit.SECONDS);
              connection.sendEvent(2);
              connection.endStream();
            });
    register("e0", replacement.port(), "v1", STARTED);
    try (RelayHarness.Caller caller = harness.caller()) {
      caller.request("POST", "/draft/a", "id-2", "Connection: close", RESUMPTION);
      assertThat(received.await(10, TimeUnit.SECONDS)).isTrue();
      reportStopped("e0", 3_000);
      reported.countDown();
      assertThat(caller.readAll()).doesNotContain("piece-2");
    }
  }

  /** A network may refuse a connection although the endpoint runs. */
  @Test
  void endpointThatGoesOnWithAnEarlierStreamHasNotStopped() throws Exception {
    FakeEndpoint endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              connection.startStream(request.header("attempt-id"));
              for (int event = 2; event <= 40; event++) {
                connection.sendEvent(event);
                TimeUnit.MILLISECONDS.sleep(100);
              }
              connection.endStream();
            });
    register("e0", endpoint.port(), "v1", STARTED);
    try (RelayHarness.Caller caller = harness.caller()) {
      caller.request("POST", "/draft/a", "id-2", "Connection: close", RESUMPTION);
      caller.readUntil("piece-14");
      reportStopped("e0");
      assertStopped("e0", false);
      assertThat(caller.readUntil("piece-28")).endsWith("piece-28");
      assertStopped("e0", false);
    }
  }

  /** One daemon that cannot reach an endpoint must not keep all from resuming streams there. */
  @Test
  void streamIsResumedIfOnlyAnotherDaemonIsRefused() throws Exception {
    FakeEndpoint endpoint = soundEndpoint(3);
    register("e0", endpoint.port(), "v1", STARTED);
    assertThat(harness.call("POST", "/draft/a", "id-0")).startsWith("HTTP/1.1 200");
    TimeUnit.MILLISECONDS.sleep(1_100);
    reportStopped("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION))
        .startsWith("HTTP/1.1 200")
        .contains("piece-3");
  }

  /** Connections may live on while the network refuses new ones. */
  @Test
  void streamIsResumedOnConnectionThatLivesOnWhileNewOnesAreRefused() throws Exception {
    FakeEndpoint endpoint = soundEndpoint(3);
    register("e0", endpoint.port(), "v1", STARTED);
    assertThat(harness.call("POST", "/draft/a", "id-0")).startsWith("HTTP/1.1 200");
    TimeUnit.MILLISECONDS.sleep(20);
    endpoint.close();
    harness.onLoop(
        state -> state.recordRefusedConnection(state.endpoints().get("e0").orElseThrow()));
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION)).contains("piece-3");
  }

  /** Loses all connections to an endpoint that listens on, as if it was replaced at once. */
  private FakeEndpoint replaceInPlace(String id) throws Exception {
    CopyOnWriteArrayList<FakeEndpoint.Connection> opened = new CopyOnWriteArrayList<>();
    FakeEndpoint endpoint =
        FakeEndpoint.start(
            (request, connection) -> {
              opened.add(connection);
              String lastEventId = request.header("last-event-id");
              connection.startStream(request.header("attempt-id"));
              connection.sendEvent(lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1);
              connection.endStream();
            });
    register(id, endpoint.port(), "v1", STARTED);
    assertThat(harness.call("POST", "/draft/a", "id-0")).startsWith("HTTP/1.1 200");
    for (FakeEndpoint.Connection each : opened) {
      each.reset();
    }
    TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
    endpoint.requests().clear();
    return endpoint;
  }

  private void setRegistrationsReadable(boolean readable) throws Exception {
    harness.onLoop(state -> state.recordRegistrationsReadable(readable));
  }

  private void assertRefusesToResume(FakeEndpoint endpoint, String attemptId) throws Exception {
    assertThat(harness.call("POST", "/draft/a", attemptId, RESUMPTION))
        .startsWith("HTTP/1.1 503")
        .contains("stream-version-gone")
        .containsIgnoringCase("retry-after");
    assertThat(endpoint.requests()).isEmpty();
  }

  @Test
  void streamIsNotResumedWhereAllConnectionsWereLostWhileRegistrationsCannotBeRead()
      throws Exception {
    setRegistrationsReadable(false);
    assertRefusesToResume(replaceInPlace("e0"), "id-2");
  }

  @Test
  void streamIsNotResumedWhereAllConnectionsWereLostJustBeforeRegistrationsCouldNotBeRead()
      throws Exception {
    FakeEndpoint replacement = replaceInPlace("e0");
    setRegistrationsReadable(false);
    assertRefusesToResume(replacement, "id-2");
  }

  /** What is registered when the store returns may have been written before its failure. */
  @Test
  void streamIsNotResumedThereUntilTheEndpointRegistersAgain() throws Exception {
    setRegistrationsReadable(false);
    FakeEndpoint replacement = replaceInPlace("e0");
    setRegistrationsReadable(true);
    assertRefusesToResume(replacement, "id-2");
    harness.onLoop(
        state ->
            state
                .stoppedEndpoints()
                .confirmRunning(state.endpoints().get("e0").orElseThrow(), state.clock().millis()));
    assertThat(harness.call("POST", "/draft/a", "id-3", RESUMPTION)).startsWith("HTTP/1.1 200");
  }

  /** The registration tells whether the endpoint was replaced. */
  @Test
  void streamIsResumedWhereAllConnectionsWereLostWhileRegistrationsCanBeRead() throws Exception {
    replaceInPlace("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION)).startsWith("HTTP/1.1 200");
  }

  @Test
  void streamIsResumedWhereConnectionsLiveOnWhileRegistrationsCannotBeRead() throws Exception {
    FakeEndpoint endpoint = soundEndpoint(3);
    register("e0", endpoint.port(), "v1", STARTED);
    assertThat(harness.call("POST", "/draft/a", "id-0")).startsWith("HTTP/1.1 200");
    setRegistrationsReadable(false);
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION)).startsWith("HTTP/1.1 200");
  }

  @Test
  void streamThatBeginsWhereAllConnectionsWereLostDoesNotContinueAtTheRegisteredVersion()
      throws Exception {
    setRegistrationsReadable(false);
    replaceInPlace("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2")).startsWith("HTTP/1.1 200");
    FakeEndpoint former = soundEndpoint(4);
    register("e1", former.port(), "v1", STARTED);
    assertThat(harness.call("POST", "/draft/a", "id-3", "Resumes: id-2", "Last-Event-Id: 1"))
        .startsWith("HTTP/1.1 503");
    assertThat(former.requests()).isEmpty();
  }

  /** The network may have reset the connections, so that the endpoint takes its share. */
  @Test
  void streamsGoOnToBeginWhereAllConnectionsWereLost() throws Exception {
    setRegistrationsReadable(false);
    final FakeEndpoint disconnected = replaceInPlace("e0");
    CountDownLatch busy = new CountDownLatch(1);
    FakeEndpoint connected =
        FakeEndpoint.start(
            (request, connection) -> {
              connection.startStream(request.header("attempt-id"));
              connection.sendEvent(1);
              busy.await(10, TimeUnit.SECONDS);
              connection.endStream();
            });
    register("e1", connected.port(), "v1", STARTED);
    List<RelayHarness.Caller> callers = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      callers.add(harness.caller());
      callers.get(i).request("POST", "/draft/a", "new-" + i, "Connection: close");
      callers.get(i).readUntil("piece-1");
    }
    busy.countDown();
    for (RelayHarness.Caller each : callers) {
      each.close();
    }
    assertThat(disconnected.requests()).isNotEmpty();
  }

  private void reportDoubt(String id) throws Exception {
    EndpointIncarnation doubted = new EndpointIncarnation(id, STARTED);
    harness.onLoop(state -> state.mergeDoubt(doubted, "other-daemon", 0));
  }

  @Test
  void streamIsNotResumedWhereAnotherDaemonLostAllConnections() throws Exception {
    FakeEndpoint replacement = soundEndpoint(3);
    register("e0", replacement.port(), "v1", STARTED);
    setRegistrationsReadable(false);
    reportDoubt("e0");
    assertRefusesToResume(replacement, "id-2");
  }

  /** A read that hangs has not failed yet, as that of the other daemon has. */
  @Test
  void streamIsNotResumedWhereThisDaemonAndOneThatCannotReadRegistrationsLostAllConnections()
      throws Exception {
    FakeEndpoint replacement = replaceInPlace("e0");
    reportDoubt("e0");
    assertRefusesToResume(replacement, "id-2");
  }

  @Test
  void streamIsNotResumedWhereAllConnectionsAreLostAfterTheReportOfAnotherDaemon()
      throws Exception {
    register("e0", 1, "v1", STARTED);
    harness.onLoop(
        state -> {
          TrackedEndpoint endpoint = state.endpoints().get("e0").orElseThrow();
          state.mergeDoubt(new EndpointIncarnation("e0", STARTED), "other-daemon", 0);
          assertThat(endpoint.mayHaveStopped()).isFalse();
          state.stoppedEndpoints().recordDisconnection(endpoint);
          assertThat(endpoint.mayHaveStopped()).isTrue();
        });
  }

  /** The other daemon alone may be cut off from the store and the endpoint. */
  @Test
  void streamIsResumedDespiteTheReportOfAnotherDaemonIfRegistrationsCanBeRead() throws Exception {
    FakeEndpoint endpoint = soundEndpoint(3);
    register("e0", endpoint.port(), "v1", STARTED);
    reportDoubt("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION)).startsWith("HTTP/1.1 200");
  }

  @Test
  void streamIsResumedDespiteTheReportOfAnotherDaemonWhereConnectionsLiveOn() throws Exception {
    FakeEndpoint endpoint = soundEndpoint(3);
    register("e0", endpoint.port(), "v1", STARTED);
    assertThat(harness.call("POST", "/draft/a", "id-0")).startsWith("HTTP/1.1 200");
    TimeUnit.MILLISECONDS.sleep(1_100);
    setRegistrationsReadable(false);
    reportDoubt("e0");
    assertThat(harness.call("POST", "/draft/a", "id-2", RESUMPTION)).startsWith("HTTP/1.1 200");
  }
}
