package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests what a start costs: a restart of a large fleet used up the processor time of a day. */
class StartCostTest {
  private static final int DAEMONS = 4;
  private static final int ENDPOINTS = 65;
  private static final Duration IDLE_TIME = Duration.ofSeconds(20);
  private static final Duration BUDGET = Duration.ofSeconds(1);

  @TempDir Path folder;

  @Test
  @Tag("known-red")
  void startAndTwentyIdleSecondsTakeAtMostOneSecondOfProcessorTime() throws Exception {
    List<String> command =
        SoakDaemon.command("-Xmx120m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    StartCost cost = StartCost.measure(command, DAEMONS, ENDPOINTS, IDLE_TIME, folder);
    assertThat(cost.total()).isLessThanOrEqualTo(BUDGET);
  }
}
