package org.heatherspread.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class SilenceDetectorTest {
  private final SilenceDetector detector = SilenceDetector.create(2_500, 1_000);

  /** Expects a and b every 250 ms, and hears b each time. */
  private void run(long fromMillis, long toMillis) {
    for (long now = fromMillis; now <= toMillis; now += 250) {
      detector.expect(List.of("a", "b"), now);
      detector.recordHeard("b", now);
    }
  }

  @Test
  void findsDaemonThatIsNotHeard() {
    run(10_000, 12_500);
    assertThat(detector.silent(12_500)).isEmpty();
    run(12_750, 12_750);
    assertThat(detector.silent(12_750)).containsExactly("a");
    detector.recordHeard("a", 12_800);
    assertThat(detector.silent(12_800)).isEmpty();
  }

  @Test
  void hearsAllAfterThisProcessStoodStill() {
    run(10_000, 11_000);
    run(20_000, 20_000);
    assertThat(detector.silent(20_250)).isEmpty();
    run(20_250, 23_000);
    assertThat(detector.silent(23_000)).containsExactly("a");
  }

  @Test
  void forgetsDaemonThatIsNotExpected() {
    run(10_000, 13_000);
    detector.expect(List.of("b"), 13_250);
    assertThat(detector.silent(20_000)).containsExactly("b");
  }

  /** Daemons with an older view named a daemon to callers that had been off for nine seconds. */
  @Test
  void silentDaemonStaysSilentUntilOthersHaveReadThatItIsGone() {
    run(10_000, 13_000);
    detector.expect(List.of("b"), 13_250);
    detector.recordHeard("b", 13_250);
    assertThat(detector.silent(14_500)).containsExactly("a");
    assertThat(detector.gone(14_500)).containsExactly("a");
    assertThat(detector.gone(16_250)).isEmpty();
  }

  @Test
  void daemonThatIsExpectedAgainCountsAsHeard() {
    run(10_000, 13_000);
    detector.expect(List.of("b"), 13_250);
    run(13_500, 13_500);
    assertThat(detector.silent(13_750)).isEmpty();
  }

  @Test
  void retainsAllDaemonsIfAllAreSilent() {
    Map<String, Integer> byDaemon = Map.of("a", 1, "b", 2);
    assertThat(SilenceDetector.retainHeard(byDaemon, Set.of("a"))).isEqualTo(Map.of("b", 2));
    assertThat(SilenceDetector.retainHeard(byDaemon, Set.of("a", "b"))).isEqualTo(byDaemon);
  }
}
