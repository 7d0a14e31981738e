package org.heatherspread.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LimitOwnerSelectorTest {
  private final List<DaemonReport> reports = new ArrayList<>();

  private DaemonReportBuilder daemon(String name, double linkMbps) {
    return DaemonReportBuilder.report(name)
        .state(DaemonState.READY)
        .linkMbps(linkMbps)
        .ownerRule(LimitOwnerSelector.CURRENT_RULE);
  }

  private void add(int count, String prefix, double linkMbps) {
    for (int i = 0; i < count; i++) {
      reports.add(daemon(prefix + i, linkMbps).build());
    }
  }

  /** A reader that also owned the limits of busy accounts no longer answered other daemons. */
  @Test
  void readersOwnNoLimits() {
    add(8, "d", 10);
    assertThat(LimitOwnerSelector.select(reports, Set.of("d0", "d3")))
        .containsExactlyInAnyOrder("d1", "d2", "d4", "d5", "d6", "d7");
  }

  /** Small daemons among larger ones fell behind with the decisions of busy accounts. */
  @Test
  void daemonsWithSlowLinksOwnNoLimitsBesideEnoughFastOnes() {
    add(10, "small", 10);
    add(6, "large", 200);
    assertThat(LimitOwnerSelector.select(reports, Set.of("large0", "large1")))
        .containsExactlyInAnyOrder("large2", "large3", "large4", "large5");
    assertThat(LimitOwnerSelector.select(reports, Set.of("large0", "large1", "large2")))
        .hasSize(13);
  }

  /** The loss of one of two owners would move half of all limits. */
  @Test
  void allReadyDaemonsMayOwnLimitsInSmallFleets() {
    add(5, "d", 10);
    reports.add(daemon("starting", 10).state(DaemonState.STARTING).build());
    assertThat(LimitOwnerSelector.select(reports, Set.of("d0", "d1")))
        .containsExactlyInAnyOrder("d0", "d1", "d2", "d3", "d4");
  }

  /** Two daemons of different versions would both own a limit and admit it twice. */
  @Test
  void allReadyDaemonsMayOwnLimitsBesideAnEarlierVersion() {
    add(8, "d", 10);
    reports.add(daemon("earlier", 10).state(DaemonState.LEAVING).ownerRule(0).build());
    assertThat(LimitOwnerSelector.select(reports, Set.of("d0"))).hasSize(8).contains("d0");
  }
}
