package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Sends different requests with one segment in their prompts that ends each endpoint that begins
 * their answers, beside sound requests with the same account and first segment.
 */
class CrashingPromptSegmentTest {
  private static final int DAEMONS = 4;
  private static final int ENDPOINTS = 4;

  /** Crashes after which requests with the segment must no longer be sent. */
  private static final int CRASHES = 5;

  private static final int MEASURED_REQUESTS = 40;

  @TempDir private Path folder;

  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicInteger soundFailures = new AtomicInteger();

  private void sendSoundRequests(ProcessFleet fleet) {
    fleet.startSenders(
        2,
        stopped,
        daemon -> {
          int status = fleet.sendSoundPrompt(daemon);
          soundFailures.addAndGet(status == 200 ? 0 : 1);
          TimeUnit.MILLISECONDS.sleep(20);
          return status;
        });
  }

  private static int countServed(ProcessFleet fleet) throws InterruptedException {
    return fleet.countServed(MEASURED_REQUESTS, fleet::sendSoundPrompt);
  }

  @Test
  void requestsWithCrashingPromptSegmentAreRefusedAndSoundOnesServed() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      sendSoundRequests(fleet);
      fleet.crashEndpoints(CRASHES, fleet::sendCrashingPrompt);
      assertThat(fleet.repeatCrashing(fleet::sendCrashingPrompt))
          .isLessThanOrEqualTo(ProcessFleet.PERMITTED_EXECUTIONS);
      TimeUnit.MILLISECONDS.sleep(ProcessFleet.PROPAGATION_MILLIS);
      soundFailures.set(0);
      fleet.sendCrashingPrompt(0);
      assertThat(countServed(fleet)).isEqualTo(MEASURED_REQUESTS);
      assertThat(soundFailures).hasValue(0);
      stopped.set(true);
    }
  }

  @Test
  void requestsWithCrashingPromptSegmentAreRefusedAfterAllDaemonsRestart() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      sendSoundRequests(fleet);
      fleet.crashEndpoints(CRASHES, fleet::sendCrashingPrompt);
      fleet.restartAll();
      for (int daemon = 0; daemon < DAEMONS; daemon++) {
        fleet.restart(daemon);
      }
      assertThat(fleet.repeatCrashing(fleet::sendCrashingPrompt))
          .isLessThanOrEqualTo(ProcessFleet.PERMITTED_EXECUTIONS);
      stopped.set(true);
    }
  }

  /** Endpoints that end for another reason must not cause a refusal of what ran on them. */
  @Test
  void soundRequestsAreServedAfterManyEndpointsCrashed() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      sendSoundRequests(fleet);
      for (int round = 0; round < 3; round++) {
        for (SoakEndpoint endpoint : fleet.endpoints()) {
          endpoint.crash();
          TimeUnit.MILLISECONDS.sleep(100);
        }
        fleet.awaitEndpoints();
        TimeUnit.MILLISECONDS.sleep(300);
      }
      TimeUnit.MILLISECONDS.sleep(ProcessFleet.PROPAGATION_MILLIS);
      assertThat(countServed(fleet)).isEqualTo(MEASURED_REQUESTS);
      stopped.set(true);
    }
  }
}
