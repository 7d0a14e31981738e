package org.heatherspread.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.duty.DutyClient;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.DaemonReportBuilder;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.freshness.EraObservation;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.lease.LeaseClient;
import org.heatherspread.core.lease.LeaseSettings;
import org.heatherspread.core.store.InMemoryTableStore;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.node.RelayStateFixtures;
import org.heatherspread.relay.call.RelayState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The store loses the counts of a window after they were sent, or daemons start anew. */
class UsageReportingDutyTest {
  private static final long WINDOW = 100;
  private static final long WINDOW_END = (WINDOW + 1) * RelayStateFixtures.USAGE_WINDOW_MILLIS;

  private final ManualClock clock = ManualClock.create();
  private StoreFreshness freshness;
  private RelayState state;
  private FleetView fleet;
  private final InMemoryTableStore store = InMemoryTableStore.create();
  private final List<String> sent = new ArrayList<>();
  private int ids;

  private final DutyClient cloud =
      new DutyClient() {
        @Override
        public CompletableFuture<Outcome> reportUsage(
            String holder, long fencing, long window, Map<String, Integer> counts) {
          if (window == WINDOW) {
            sent.add(counts.toString());
          }
          return CompletableFuture.completedFuture(Outcome.DONE);
        }

        @Override
        public CompletableFuture<Outcome> order(String holder, long fencing, EndpointOrder order) {
          throw new UnsupportedOperationException();
        }

        @Override
        public void abortCalls() {
          throw new UnsupportedOperationException();
        }
      };

  @BeforeEach
  void startDaemon() {
    freshness = StoreFreshness.create(clock, () -> Instant.ofEpochMilli(clock.millis()));
    state = RelayStateFixtures.create(clock, freshness, null);
    fleet = FleetView.create(3_000);
  }

  private UsageReportingDuty duty() {
    TableStore leases = InMemoryTableStore.create();
    LeaseClient lease =
        LeaseClient.create("duties", "d", LeaseSettings.defaults(), leases, clock, this::nextId);
    lease.step(0).join();
    return new UsageReportingDuty(state, fleet, store, cloud, lease, "d", 10_000, this::nextId);
  }

  private String nextId() {
    return "w" + ids++;
  }

  private void read() {
    freshness.recordRead(
        freshness.startRead(),
        new SharedReadResult(List.of(), new StorePosition(store.era(), 1), clock.millis(), 0));
  }

  private void reportCount(int count) {
    reportCount(count, null);
  }

  private void reportCount(int count, EraObservation storeEra) {
    DaemonReport report =
        DaemonReportBuilder.report("d1")
            .domain("z")
            .sequence(count)
            .atStoreMillis(clock.millis())
            .usage(Map.of(WINDOW, Map.of("acme", count)))
            .storeEra(storeEra)
            .build();
    fleet.put("d1/1", report, clock.millis());
  }

  private void advanceTo(long millis) {
    clock.advance(Duration.ofMillis(millis - clock.millis()));
  }

  @Test
  void countsSentBeforeTheStoreWasRestoredAreNotSentDifferently() {
    read();
    advanceTo(WINDOW_END + 1_000);
    read();
    reportCount(1);
    UsageReportingDuty holder = duty();
    holder.perform(1);
    assertThat(sent).containsExactly("{acme=1}");
    store.restore();
    clock.advance(Duration.ofMillis(500));
    read();
    reportCount(2);
    duty().perform(1);
    holder.onLeaseLost();
    holder.perform(1);
    assertThat(sent).containsExactly("{acme=1}", "{acme=1}");
  }

  /** The daemon that starts reads the new era first and so sees no restore. */
  @Test
  void daemonThatStartsAfterRestoreDoesNotSendOtherCounts() {
    read();
    advanceTo(WINDOW_END + 1_000);
    reportCount(1);
    duty().perform(1);
    assertThat(sent).containsExactly("{acme=1}");
    store.restore();
    clock.advance(Duration.ofMillis(500));
    startDaemon();
    read();
    reportCount(2);
    duty().perform(1);
    assertThat(sent).containsExactly("{acme=1}");
  }

  /** The restore happens after the check, before the write of the counts. */
  @Test
  void countsWrittenAfterRestoreAreNotSent() {
    read();
    advanceTo(WINDOW_END + 1_000);
    reportCount(1);
    duty().perform(1);
    reportCount(2);
    store.pause();
    duty().perform(1);
    store.restore();
    store.resume();
    assertThat(sent).containsExactly("{acme=1}");
  }

  @Test
  void windowsThatEndAfterTheRestoreAreReported() {
    read();
    advanceTo(WINDOW_END - 500);
    store.restore();
    read();
    advanceTo(WINDOW_END + 1_000);
    read();
    reportCount(3);
    duty().perform(1);
    assertThat(sent).containsExactly("{acme=3}");
  }

  /** All daemons were killed; the report of one that ended shows that nothing was lost. */
  @Test
  void windowIsReportedByDaemonThatStartsAfterItsEnd() {
    advanceTo(WINDOW_END + 1_000);
    read();
    reportCount(4, new EraObservation(store.era(), WINDOW_END - 2_000));
    duty().perform(1);
    assertThat(sent).containsExactly("{acme=4}");
  }

  @Test
  void observationsOfEarlierErasAndOfLaterTimesDoNotCount() {
    store.restore();
    advanceTo(WINDOW_END + 1_000);
    read();
    reportCount(5, new EraObservation(store.era() - 1, WINDOW_END - 2_000));
    duty().perform(1);
    reportCount(6, new EraObservation(store.era(), WINDOW_END + 1));
    duty().perform(1);
    assertThat(sent).isEmpty();
  }
}
