package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.heatherspread.platform.FakePlatform;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Sends a request that ends each endpoint that begins its answer to several daemon processes, and
 * checks that no more than the permitted number of repeats reaches endpoints later than three
 * seconds after the third crash.
 */
class CrashingRequestTest {
  private static final int DAEMONS = 4;
  private static final int ENDPOINTS = 4;

  /** Crashes after which the request must no longer be sent. */
  private static final int CRASHES = 3;

  private static final int MEASURED_REQUESTS = 20;
  private static final int SENDERS_PER_DAEMON = 3;

  @TempDir private Path folder;

  @Test
  void crashingRequestIsRefusedByAllDaemons() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      fleet.crashEndpoints(CRASHES, fleet::sendCrashing);
      assertThat(fleet.repeatCrashing(fleet::sendCrashing))
          .isLessThanOrEqualTo(ProcessFleet.PERMITTED_EXECUTIONS);
      assertThat(fleet.sendCrashing(0)).isEqualTo(503);
      assertThat(fleet.send(0, "sound", "sound", "")).isEqualTo(200);
    }
  }

  @Test
  void crashingRequestIsRefusedAfterAllDaemonsRestartInTurn() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      fleet.crashEndpoints(CRASHES, fleet::sendCrashing);
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        fleet.restart(daemon);
      }
      assertThat(fleet.repeatCrashing(fleet::sendCrashing))
          .isLessThanOrEqualTo(ProcessFleet.PERMITTED_EXECUTIONS);
    }
  }

  @Test
  void crashingRequestIsRefusedAfterRepeatedRestartsOfAllDaemons() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      fleet.crashEndpoints(CRASHES, fleet::sendCrashing);
      fleet.restartAll();
      fleet.restartAll();
      assertThat(fleet.repeatCrashing(fleet::sendCrashing))
          .isLessThanOrEqualTo(ProcessFleet.PERMITTED_EXECUTIONS);
    }
  }

  @Test
  void crashingRequestIsRefusedAfterTheStoreLostItsReports() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      final FakePlatform.Backup backup = fleet.platform().backUp();
      fleet.crashEndpoints(CRASHES, fleet::sendCrashing);
      fleet.restart(0);
      fleet.platform().restore(backup, FakePlatform.OPERATORS, FakePlatform.ENDPOINTS);
      TimeUnit.MILLISECONDS.sleep(ProcessFleet.PROPAGATION_MILLIS);
      fleet.restart(1);
      fleet.restart(2);
      fleet.restart(3);
      assertThat(fleet.repeatCrashing(fleet::sendCrashing))
          .isLessThanOrEqualTo(ProcessFleet.PERMITTED_EXECUTIONS);
    }
  }

  @Test
  @Tag("known-red")
  void crashingRequestIsRefusedByAllDaemonsWhileTheStoreIsDown() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      checkRefusalWithoutStore(fleet);
    }
  }

  /** Without the store, daemons do not learn that an endpoint has started again under its id. */
  @Test
  @Tag("known-red")
  void crashingRequestIsRefusedIfTheSameEndpointsEndAgainWhileTheStoreIsDown() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, 2, folder)) {
      checkRefusalWithoutStore(fleet);
    }
  }

  private static void checkRefusalWithoutStore(ProcessFleet fleet) throws Exception {
    for (SoakEndpoint endpoint : fleet.endpoints()) {
      endpoint.setRestart(500, true);
    }
    fleet.platform().setFault(FakePlatform.Fault.UNAVAILABLE);
    while (fleet.crashingExecutions() < CRASHES) {
      fleet.sendCrashing(0);
      fleet.awaitEndpoints();
    }
    long before = fleet.crashingExecutions();
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      fleet.sendCrashing(daemon);
    }
    assertThat(fleet.crashingExecutions()).isEqualTo(before);
    assertThat(fleet.send(1, "sound", "sound", "")).isEqualTo(200);
  }

  /** A restarted endpoint accepts connections that were meant for its predecessor. */
  @Test
  void crashingRequestIsRefusedIfEndpointsRestartAtOnceAtTheirAddresses() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      for (SoakEndpoint endpoint : fleet.endpoints()) {
        endpoint.setRestart(250, false);
      }
      fleet.crashEndpoints(CRASHES, fleet::sendCrashing);
      assertThat(fleet.repeatCrashing(fleet::sendCrashing))
          .isLessThanOrEqualTo(ProcessFleet.PERMITTED_EXECUTIONS);
    }
  }

  /** Identical requests of one account run on every endpoint that crashes. */
  @Test
  void crashingRequestIsRefusedAndIdenticalSoundRequestsBesideItAreServed() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      AtomicBoolean stopped = new AtomicBoolean();
      fleet.startSenders(SENDERS_PER_DAEMON, stopped, fleet::sendSound);
      fleet.crashEndpoints(CRASHES, fleet::sendCrashing);
      final long executions = fleet.repeatCrashing(fleet::sendCrashing);
      stopped.set(true);
      fleet.awaitEndpoints();
      final int served = countServed(fleet);
      assertThat(executions).isLessThanOrEqualTo(ProcessFleet.PERMITTED_EXECUTIONS);
      assertThat(served).isGreaterThan(17);
    }
  }

  /** Each of the endpoints has such a request in progress. */
  @Test
  void identicalSoundRequestsAreServedAfterAllEndpointsCrashAtOnce() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      AtomicBoolean stopped = new AtomicBoolean();
      fleet.startSenders(SENDERS_PER_DAEMON, stopped, fleet::sendSound);
      TimeUnit.SECONDS.sleep(1);
      for (SoakEndpoint endpoint : fleet.endpoints()) {
        endpoint.crash();
      }
      fleet.awaitEndpoints();
      TimeUnit.MILLISECONDS.sleep(ProcessFleet.PROPAGATION_MILLIS);
      int served = countServed(fleet);
      stopped.set(true);
      assertThat(served).isEqualTo(MEASURED_REQUESTS);
    }
  }

  private static int countServed(ProcessFleet fleet) throws InterruptedException {
    return fleet.countServed(
        MEASURED_REQUESTS,
        daemon -> {
          int status = fleet.sendSound(daemon);
          TimeUnit.MILLISECONDS.sleep(50);
          return status;
        });
  }
}
