package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Endpoints that name limits in their responses, while several daemons send them requests. */
class EndpointLimitTest {
  private static final int DAEMONS = 4;
  private static final int ENDPOINTS = 4;

  /** Time for which the requests at an endpoint are counted; several windows of the rule. */
  private static final long MEASURED_MILLIS = 8_000;

  @TempDir private Path folder;

  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicInteger failures = new AtomicInteger();

  @AfterEach
  void stopSenders() {
    stopped.set(true);
  }

  private void sendRequests(ProcessFleet fleet) {
    fleet.startSenders(
        3,
        stopped,
        daemon -> {
          int status = fleet.sendSoundPrompt(daemon);
          failures.addAndGet(status == 200 ? 0 : 1);
          TimeUnit.MILLISECONDS.sleep(20);
          return status;
        });
  }

  private static void assertKept(NamedLimit limit) {
    assertThat(limit.maxArrivals()).isLessThanOrEqualTo(limit.permittedArrivals());
  }

  /** One limit is below a request per second and daemon, one far below it. */
  @Test
  @Tag("known-red")
  void endpointsThatNameLimitsGetNoMoreRequestsThanTheyAllow() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(DAEMONS, ENDPOINTS, folder)) {
      sendRequests(fleet);
      NamedLimit limit = fleet.endpoints().get(0).nameLimit(2.5);
      NamedLimit lowLimit = fleet.endpoints().get(1).nameLimit(0.4);
      TimeUnit.MILLISECONDS.sleep(NamedLimit.PROPAGATION_MILLIS + MEASURED_MILLIS);
      assertKept(limit);
      assertKept(lowLimit);
    }
  }
}
