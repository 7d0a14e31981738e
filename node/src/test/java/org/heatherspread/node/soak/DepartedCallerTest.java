package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Callers leave while a daemon process does not run, as one that starts on a busy machine. */
class DepartedCallerTest {
  private static final int REQUESTS = 20;

  @TempDir private Path folder;

  @Test
  void requestsOfCallersThatLeftWhileTheDaemonWasSuspendedAreNotSentOn() throws Exception {
    try (ProcessFleet fleet = ProcessFleet.start(1, 1, folder)) {
      fleet.pause(
          0,
          () -> {
            for (int i = 0; i < REQUESTS; i++) {
              fleet.sendAndLeave(0, "left-" + i);
            }
            TimeUnit.MILLISECONDS.sleep(700);
          });
      fleet.awaitReady(0);
      TimeUnit.MILLISECONDS.sleep(500);
      assertThat(fleet.executions("left-")).isZero();
    }
  }
}
