package org.heatherspread.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FleetViewTest {
  private final FleetView fleet = FleetView.create(3_000);

  private static DaemonReport report(String daemon, String life, long sequence) {
    return DaemonReportBuilder.report(daemon)
        .life(life)
        .sequence(sequence)
        .atStoreMillis(sequence)
        .build();
  }

  @Test
  void daemonsThatStopReportingAreNotLive() {
    fleet.put("a/1", report("a", "1", 1), 0);
    fleet.put("b/1", report("b", "1", 1), 0);
    fleet.put("b/1", report("b", "1", 2), 1_800);
    fleet.put("b/1", report("b", "1", 3), 3_500);
    fleet.markRead(3_500);
    assertThat(fleet.liveReports()).extracting(DaemonReport::daemon).containsExactly("b");
    assertThat(fleet.allReports()).hasSize(2);
  }

  /** While no daemon can write to the store, missing reports must not make daemons non-live. */
  @Test
  void storeOutageDoesNotEndLiveness() {
    fleet.put("a/1", report("a", "1", 1), 1_000);
    fleet.put("b/1", report("b", "1", 1), 1_100);
    fleet.markRead(9_000);
    assertThat(fleet.liveReports()).hasSize(2);
    fleet.put("a/1", report("a", "1", 2), 9_500);
    assertThat(fleet.liveReports()).hasSize(2);
    fleet.put("a/1", report("a", "1", 3), 11_000);
    assertThat(fleet.liveReports()).hasSize(2);
    fleet.put("a/1", report("a", "1", 4), 12_500);
    assertThat(fleet.liveReports()).extracting(DaemonReport::daemon).containsExactly("a");
  }

  @Test
  void newestProcessRepresentsRestartedDaemon() {
    fleet.put("a/1", report("a", "1", 9), 1_000);
    fleet.put("a/2", report("a", "2", 10), 1_500);
    fleet.markRead(2_000);
    assertThat(fleet.liveReports()).extracting(DaemonReport::life).containsExactly("2");
  }

  @Test
  void reportsWithOlderSequenceCountAsStored() {
    fleet.put("a/1", report("a", "1", 9), 1_000);
    assertThat(fleet.hasReport("a/1", 8)).isTrue();
    assertThat(fleet.hasReport("a/1", 10)).isFalse();
  }

  /** Rows of live daemons would be deleted by a daemon that starts after an outage of the store. */
  @Test
  void oldReportsCountAsUnchangedFromTheirFirstReadOnly() {
    fleet.putOld("a/1", report("a", "1", 1), 60_000, 1_000);
    fleet.markRead(5_000);
    assertThat(fleet.rowsUnchangedFor(10_000)).isEmpty();
    fleet.markRead(11_001);
    assertThat(fleet.rowsUnchangedFor(10_000)).containsExactly("a/1");
  }
}
