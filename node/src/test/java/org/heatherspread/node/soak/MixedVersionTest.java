package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.routing.RendezvousHash;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Endpoints of two versions of their software in one service, whose streams break and are retried
 * by daemons and resumed by callers.
 */
class MixedVersionTest {
  private static final int DAEMONS = 4;

  /** Number of daemons of which only some receive a copy of each stream's origin. */
  private static final int MANY_DAEMONS = 8;

  private static final int ENDPOINTS = 4;
  private static final int STREAMS = 40;

  /** Number of events after which a caller breaks a stream. */
  private static final int EVENTS_BEFORE_BREAK = 2;

  private static final long REGISTRATION_MILLIS = 1_000;

  /** Time in which a request that cannot be served must be refused; far below its deadline. */
  private static final long MAX_REFUSAL_MILLIS = 1_000;

  @TempDir private Path folder;

  private int mixedStreams;
  private int resumedStreams;

  /** Starts a fleet of which every second endpoint runs another version. */
  private ProcessFleet startFleet() throws Exception {
    ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder);
    for (int i = 0; i < ENDPOINTS; i += 2) {
      fleet.endpoints().get(i).setVersion("v2");
    }
    TimeUnit.MILLISECONDS.sleep(REGISTRATION_MILLIS);
    return fleet;
  }

  private synchronized void count(List<String> versions) {
    mixedStreams += new HashSet<>(versions).size() > 1 ? 1 : 0;
  }

  /** Begins a stream at one daemon, breaks it and resumes it at another one. */
  private ProcessFleet.ReceivedStream breakAndResume(
      ProcessFleet fleet, int number, int first, int second) throws InterruptedException {
    String id = "stream-" + number;
    ProcessFleet.ReceivedStream begun = fleet.receive(first, id, EVENTS_BEFORE_BREAK);
    return resume(fleet, begun, id, second);
  }

  private ProcessFleet.ReceivedStream resume(
      ProcessFleet fleet, ProcessFleet.ReceivedStream begun, String id, int daemon)
      throws InterruptedException {
    String lastEvent = Integer.toString(begun.versions().size());
    ProcessFleet.ReceivedStream resumed =
        fleet.receive(
            daemon,
            id + "-resumed",
            SoakEndpoint.EVENT_COUNT,
            "Resumes",
            id,
            "Last-Event-Id",
            lastEvent);
    List<String> versions = new ArrayList<>(begun.versions());
    versions.addAll(resumed.versions());
    count(versions);
    resumedStreams += versions.size() == SoakEndpoint.EVENT_COUNT ? 1 : 0;
    return resumed;
  }

  @Test
  void resumedStreamsContinueAtTheVersionThatBeganThem() throws Exception {
    try (ProcessFleet fleet = startFleet()) {
      for (int i = 0; i < STREAMS; i++) {
        breakAndResume(fleet, i, i % DAEMONS, (i + 1) % DAEMONS);
      }
      assertThat(mixedStreams).isZero();
      assertThat(resumedStreams).isEqualTo(STREAMS);
    }
  }

  @Test
  void streamsThatEndpointsBreakContinueAtTheirVersion() throws Exception {
    try (ProcessFleet fleet = startFleet()) {
      fleet.endpoints().forEach(endpoint -> endpoint.setFaultShare(0.5));
      for (int i = 0; i < 3 * STREAMS; i++) {
        count(fleet.receive(i % DAEMONS, "stream-" + i, SoakEndpoint.EVENT_COUNT).versions());
      }
      assertThat(mixedStreams).isZero();
    }
  }

  @Test
  void streamsOfAnEndedOrFrozenDaemonAreResumedAtItsVersion() throws Exception {
    try (ProcessFleet fleet = startFleet()) {
      List<ProcessFleet.ReceivedStream> begun = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        begun.add(fleet.receive(i % 2, "stream-" + i, EVENTS_BEFORE_BREAK));
      }
      fleet.daemon(0).kill();
      fleet.pause(
          1,
          () -> {
            for (int i = 0; i < STREAMS; i++) {
              resume(fleet, begun.get(i), "stream-" + i, 2 + i % 2);
            }
          });
      assertThat(mixedStreams).isZero();
      assertThat(resumedStreams).isGreaterThanOrEqualTo(9 * STREAMS / 10);
    }
  }

  /** Time before the end of all daemons from which streams need not be found. */
  private static final long REPORT_MILLIS = 1_000;

  private List<ProcessFleet.ReceivedStream> beginStreams(ProcessFleet fleet) throws Exception {
    List<ProcessFleet.ReceivedStream> begun = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      begun.add(fleet.receive(i % DAEMONS, "stream-" + i, EVENTS_BEFORE_BREAK));
    }
    TimeUnit.MILLISECONDS.sleep(REPORT_MILLIS);
    return begun;
  }

  private void resumeAll(ProcessFleet fleet, List<ProcessFleet.ReceivedStream> begun)
      throws InterruptedException {
    for (int i = 0; i < STREAMS; i++) {
      resume(fleet, begun.get(i), "stream-" + i, (i + 1) % DAEMONS);
    }
  }

  /** Kills all daemons once or more between the break of the streams and their resumption. */
  private void assertResumedAfterRestarts(ProcessFleet fleet, int restarts) throws Exception {
    List<ProcessFleet.ReceivedStream> begun = beginStreams(fleet);
    for (int i = 0; i < restarts; i++) {
      fleet.restartAll();
    }
    resumeAll(fleet, begun);
    assertThat(mixedStreams).isZero();
    assertThat(resumedStreams).isGreaterThanOrEqualTo(9 * STREAMS / 10);
  }

  @Test
  void streamsAreResumedAtTheirVersionAfterAllDaemonsWereKilled() throws Exception {
    try (ProcessFleet fleet = startFleet()) {
      assertResumedAfterRestarts(fleet, 1);
    }
  }

  /** What the first processes learned must also survive the end of the second ones. */
  @Test
  void streamsAreResumedAfterAllDaemonsWereKilledTwice() throws Exception {
    try (ProcessFleet fleet = startFleet()) {
      assertResumedAfterRestarts(fleet, 2);
    }
  }

  @Test
  void streamsOfTheOnlyVersionAreResumedAfterAllDaemonsWereKilled() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      assertResumedAfterRestarts(fleet, 1);
    }
  }

  /** The daemons that start see the new version only, and must not take it for the old one. */
  @Test
  void streamsOfVersionThatLeftAreNotJoinedAfterAllDaemonsWereKilled() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      final List<ProcessFleet.ReceivedStream> begun = beginStreams(fleet);
      for (SoakEndpoint endpoint : fleet.endpoints()) {
        endpoint.setRestart(100, false);
        endpoint.setVersion("v2");
        endpoint.crash();
      }
      fleet.awaitEndpoints();
      fleet.restartAll();
      resumeAll(fleet, begun);
      assertThat(mixedStreams).isZero();
    }
  }

  /** The daemon does not see that a version has begun to replace the other one. */
  @Test
  void daemonWithoutTheStoreDoesNotMixVersions() throws Exception {
    try (ProcessFleet fleet = startFleet()) {
      fleet.daemon(0).storeProxy().setMode(FaultProxy.Mode.STALL);
      for (int i = 0; i < ENDPOINTS; i += 2) {
        SoakEndpoint endpoint = fleet.endpoints().get(i);
        endpoint.setRestart(100, false);
        endpoint.setVersion("v3");
        endpoint.crash();
      }
      fleet.awaitEndpoints();
      for (int i = 0; i < STREAMS; i++) {
        breakAndResume(fleet, i, 1 + i % (DAEMONS - 1), 0);
      }
      assertThat(mixedStreams).isZero();
    }
  }

  /** Replaces every second endpoint of a fleet with one version by one of a new version. */
  private static void beginRelease(ProcessFleet fleet) throws Exception {
    for (int i = 0; i < ENDPOINTS; i += 2) {
      SoakEndpoint endpoint = fleet.endpoints().get(i);
      endpoint.setRestart(100, false);
      endpoint.setVersion("v2");
      endpoint.crash();
    }
    fleet.awaitEndpoints();
  }

  /**
   * Returns the id of a stream whose origin the daemon that begins it does not copy to the first
   * daemon.
   */
  private static String uncopiedId(int number, int daemon) {
    List<String> others = new ArrayList<>();
    for (int i = 0; i < MANY_DAEMONS; i++) {
      others.add("daemon-" + i);
    }
    others.remove(daemon);
    String id = "stream-" + number;
    while (RendezvousHash.select(others, id, MANY_DAEMONS / 2).contains("daemon-0")) {
      id += "x";
    }
    return id;
  }

  /**
   * The daemon knows only the version from before and must not take it for the only one. It still
   * accepts keys for some seconds.
   */
  @Test
  void daemonWithoutTheStoreDoesNotTakeVersionForTheOnlyOne() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(MANY_DAEMONS, ENDPOINTS, MANY_DAEMONS, folder)) {
      fleet.daemon(0).storeProxy().setMode(FaultProxy.Mode.STALL);
      beginRelease(fleet);
      int ofNewVersion = 0;
      for (int i = 0; i < STREAMS; i++) {
        int daemon = 1 + i % (MANY_DAEMONS - 1);
        String id = uncopiedId(i, daemon);
        ProcessFleet.ReceivedStream begun = fleet.receive(daemon, id, EVENTS_BEFORE_BREAK);
        resume(fleet, begun, id, 0);
        ofNewVersion += begun.versions().contains("v2") ? 1 : 0;
      }
      assertThat(ofNewVersion).isPositive();
      assertThat(mixedStreams).isZero();
    }
  }

  /** The requests wait for the daemon, which processes them before it reads what has changed. */
  @Test
  void daemonThatStoodStillDoesNotTakeVersionForTheOnlyOne() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(MANY_DAEMONS, ENDPOINTS, MANY_DAEMONS, folder)) {
      List<CompletableFuture<Void>> resumed = new ArrayList<>();
      fleet.pause(
          0,
          () -> {
            beginRelease(fleet);
            for (int i = 0; i < STREAMS; i++) {
              int daemon = 1 + i % (MANY_DAEMONS - 1);
              String id = uncopiedId(i, daemon);
              resumed.add(resumeLater(fleet, fleet.receive(daemon, id, EVENTS_BEFORE_BREAK), id));
            }
          });
      resumed.forEach(CompletableFuture::join);
      assertThat(mixedStreams).isZero();
    }
  }

  private CompletableFuture<Void> resumeLater(
      ProcessFleet fleet, ProcessFleet.ReceivedStream begun, String id) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    DaemonThreads.start(
        "resume-" + id,
        () -> {
          try {
            resume(fleet, begun, id, 0);
            done.complete(null);
          } catch (InterruptedException e) {
            done.completeExceptionally(e);
          }
        });
    return done;
  }

  @Test
  void streamsOfVersionThatIsGoneAreRefusedAtOnce() throws Exception {
    try (ProcessFleet fleet = startFleet()) {
      List<ProcessFleet.ReceivedStream> begun = new ArrayList<>();
      for (int i = 0; i < STREAMS; i++) {
        begun.add(fleet.receive(i % DAEMONS, "stream-" + i, EVENTS_BEFORE_BREAK));
      }
      for (int i = 0; i < ENDPOINTS; i += 2) {
        fleet.endpoints().get(i).setVersion("v1");
      }
      TimeUnit.MILLISECONDS.sleep(REGISTRATION_MILLIS);
      int refused = 0;
      for (int i = 0; i < STREAMS; i++) {
        long startNanos = System.nanoTime();
        int status = resume(fleet, begun.get(i), "stream-" + i, (i + 1) % DAEMONS).status();
        boolean gone = begun.get(i).versions().contains("v2");
        assertThat(status).isEqualTo(gone ? 503 : 200);
        refused += gone ? 1 : 0;
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(gone ? millis : 0).isLessThan(MAX_REFUSAL_MILLIS);
      }
      assertThat(refused).isPositive();
      assertThat(mixedStreams).isZero();
    }
  }
}
