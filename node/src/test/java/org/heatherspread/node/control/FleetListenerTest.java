package org.heatherspread.node.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.DaemonReportBuilder;
import org.heatherspread.core.fleet.DaemonState;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.limit.OvershootAllowance;
import org.heatherspread.core.limit.PartitionedLimiter;
import org.heatherspread.core.limit.RateLimit;
import org.heatherspread.core.limit.ReportSchedule;
import org.heatherspread.core.poison.CrashEvidence;
import org.heatherspread.core.poison.Suspect;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.node.RelayStateFixtures;
import org.heatherspread.node.peer.LoadExchange;
import org.heatherspread.node.peer.PeerClient;
import org.heatherspread.relay.call.LimitAdmission;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.rpc.RpcClient;
import org.junit.jupiter.api.Test;

class FleetListenerTest {
  private static final String SELF = "d0";
  private static final int DAEMONS = 8;
  private static final Duration INTERVAL = Duration.ofMillis(1_500);

  private final ManualClock clock = ManualClock.create();
  private final StoreFreshness freshness = StoreFreshness.create(clock, InstantSource.system());
  private final PartitionedLimiter limits =
      PartitionedLimiter.create(SELF, clock, new OvershootAllowance(8, 0, 0));
  private final List<HostPort> called = new ArrayList<>();
  private final PeerClient peers = PeerClient.create(SELF, this::recordCall);
  private final RelayState state =
      RelayStateFixtures.create(
          clock, freshness, LimitAdmission.create(limits, peers.accountLimits()));
  private final FleetListener listener =
      new FleetListener(
          state,
          FleetView.create(3_800),
          SELF,
          "z",
          peers,
          () -> false,
          new ReportSchedule(INTERVAL, 26),
          Duration.ofMillis(3_800));
  private long sequence;

  private RpcClient recordCall(HostPort address) {
    called.add(address);
    throw new IllegalStateException("called");
  }

  private static DaemonReport report(String daemon, long sequence, DaemonState state) {
    return report(daemon, sequence, state, List.of());
  }

  private static DaemonReport report(
      String daemon, long sequence, DaemonState state, List<CrashEvidence> suspects) {
    return DaemonReportBuilder.report(daemon)
        .domain("z")
        .state(state)
        .sequence(sequence)
        .atStoreMillis(sequence)
        .suspects(suspects)
        .build();
  }

  /** Domains of fewer than four daemons have no reader, so their daemons form one group. */
  @Test
  void daemonsOfSmallDomainsExchangeLoadsInOneGroup() {
    List<DaemonReport> reports = new ArrayList<>();
    for (String daemon : List.of("a1", "b1", "b2", "c1")) {
      reports.add(report(daemon, 1, DaemonState.READY));
    }
    assertThat(LoadExchange.DomainReaders.of(reports, Map.of(), "z"))
        .isEqualTo(new LoadExchange.DomainReaders("a1", List.of(), Set.of("a1", "b1", "b2", "c1")));
    assertThat(LoadExchange.DomainReaders.of(reports, Map.of("z", "c1"), "z"))
        .isEqualTo(new LoadExchange.DomainReaders("c1", List.of(), Set.of("a1", "b1", "b2", "c1")));
    assertThat(LoadExchange.DomainReaders.of(reports, Map.of("z", "c1"), "other"))
        .isEqualTo(LoadExchange.DomainReaders.NONE);
    assertThat(LoadExchange.DomainReaders.of(List.of(), Map.of(), "z"))
        .isEqualTo(LoadExchange.DomainReaders.NONE);
  }

  /**
   * Reports READY for all daemons but the given ones, which report a state or, if null, nothing.
   */
  private void runRound(Set<String> exceptions, DaemonState exceptionState) {
    clock.advance(INTERVAL);
    sequence++;
    List<SharedRow> rows = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      String name = "d" + i;
      if (!exceptions.contains(name)) {
        byte[] row = ReportFormat.write(report(name, sequence, DaemonState.READY));
        rows.add(new SharedRow(name, row, sequence, false));
      } else if (exceptionState != null) {
        byte[] row = ReportFormat.write(report(name, sequence, exceptionState));
        rows.add(new SharedRow(name, row, sequence, false));
      }
    }
    listener.onChanges(new SharedReadResult(rows, sequence, sequence));
  }

  /**
   * A limit owner that is disconnected from the store but not from callers admits requests for as
   * long as it accepts keys; a new owner in this time would admit up to the limit a second time.
   */
  @Test
  void silentLimitOwnerIsNotReplacedWhileItMayStillAdmit() {
    runRound(Set.of(), null);
    String owner = limits.owner("acme");
    assertThat(owner).isNotNull();
    for (long silentMillis = 0;
        silentMillis < RelayStateFixtures.KEY_ACCEPTANCE_MILLIS + INTERVAL.toMillis(); ) {
      runRound(Set.of(owner), null);
      silentMillis += INTERVAL.toMillis();
      assertThat(limits.owner("acme")).isEqualTo(owner);
    }
    for (int i = 0; i < 3; i++) {
      runRound(Set.of(owner), null);
    }
    assertThat(limits.owner("acme")).isNotNull().isNotEqualTo(owner);
  }

  /**
   * A limit whose owner could not be asked was decided by the small reserve of each daemon, also if
   * the owner's process had stopped, which a call would have shown.
   */
  @Test
  void silentLimitOwnerCanBeAsked() {
    runRound(Set.of(), null);
    String owner = limits.owner("acme");
    for (int i = 0; i < 4; i++) {
      runRound(Set.of(owner), null);
    }
    assertThat(limits.owner("acme")).isEqualTo(owner);
    assertThat(peers.daemons()).doesNotContain(owner);
    RateLimit limit = new AccountConfig("acme", Set.of("k"), -1, true, 200, 1_000, 1_000);
    LimitRequest request = LimitRequest.of(1);
    assertThatThrownBy(() -> peers.accountLimits().requestAdmission(owner, limit, request, 0))
        .hasMessage("called");
    assertThat(called).hasSize(1);
  }

  @Test
  void leavingLimitOwnerIsReplacedAtOnce() {
    runRound(Set.of(), null);
    String owner = limits.owner("acme");
    runRound(Set.of(owner), DaemonState.LEAVING);
    assertThat(limits.owner("acme")).isNotNull().isNotEqualTo(owner);
  }

  private static List<CrashEvidence> evidence(long ageMillis) {
    Map<String, Long> crashes = Map.of("e1", ageMillis, "e2", ageMillis, "e3", ageMillis);
    return List.of(
        new CrashEvidence(Suspect.request("culprit"), crashes, CrashEvidence.NO_SUCCESS));
  }

  private void receive(String row, DaemonReport report) {
    byte[] value = ReportFormat.write(report);
    listener.onChanges(
        new SharedReadResult(List.of(new SharedRow(row, value, 1, false)), 1, 10_000));
  }

  @Test
  void evidenceOfProcessesThatHaveEndedIsMerged() {
    receive("d1/2", report("d1", 10_000, DaemonState.READY));
    receive("d1/1", report("d1", 9_000, DaemonState.READY, evidence(0)));
    assertThat(state.poisonFilter().refusedCount()).isEqualTo(1);
  }

  @Test
  void evidenceOfAnEarlierProcessOfThisDaemonIsMerged() {
    receive(SELF + "/1", report(SELF, 9_000, DaemonState.READY, evidence(0)));
    assertThat(state.poisonFilter().refusedCount()).isEqualTo(1);
  }

  @Test
  void daemonsWhoseReportsTheRestoredStoreLostStayLive() {
    listener.onFullRead(new SharedReadResult(List.of(), 1, 1), false);
    runRound(Set.of(), null);
    assertThat(state.daemonCount()).isEqualTo(DAEMONS);
    listener.onFullRead(
        new SharedReadResult(List.of(), new StorePosition(1, sequence - 1), 10_000, 0), true);
    assertThat(state.daemonCount()).isEqualTo(DAEMONS);
  }

  /** A daemon that started named addresses of daemons that had been off for half a minute. */
  @Test
  void reportsOfDaemonsThatEndedLongAgoAreNotLiveAfterStart() {
    List<SharedRow> rows = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      byte[] value =
          ReportFormat.write(report("d" + i, i == 0 ? 10_000 : 39_000, DaemonState.READY));
      rows.add(new SharedRow("d" + i, value, 1, false));
    }
    listener.onFullRead(new SharedReadResult(rows, new StorePosition(1, 1), 40_000, 0), false);
    assertThat(state.daemonCount()).isEqualTo(DAEMONS - 1);
  }

  /** No daemon can write while the store is away, which says nothing about the daemons. */
  @Test
  void reportsFromBeforeOutageAreLiveAfterStart() {
    List<SharedRow> rows = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      byte[] value = ReportFormat.write(report("d" + i, 10_000 + 100 * i, DaemonState.READY));
      rows.add(new SharedRow("d" + i, value, 1, false));
    }
    listener.onFullRead(new SharedReadResult(rows, new StorePosition(1, 1), 40_000, 0), false);
    assertThat(state.daemonCount()).isEqualTo(DAEMONS);
  }

  /** A report that stays in the store must not renew the evidence in it. */
  @Test
  void ageOfReportCountsTowardsAgeOfItsEvidence() {
    receive("d1/1", report("d1", 4_000, DaemonState.READY, evidence(1_000)));
    long ageMillis =
        state.poisonFilter().evidence().get(0).crashAgesMillis().values().iterator().next();
    assertThat(ageMillis).isEqualTo(7_000);
  }

  /** The reports of all daemons were no longer followed, as each read of the row failed. */
  @Test
  void reportsWithMissingOrInvalidFieldsAreSkipped() {
    String sound =
        new String(ReportFormat.write(report("d9", 1, DaemonState.READY)), StandardCharsets.UTF_8);
    List<String> rows =
        new ArrayList<>(List.of("", "null", "{}", "[]", "3", "{\"daemon\":\"d9\"}"));
    for (String address :
        new String[] {"10.0.0.9", "10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:99999999999"}) {
      rows.add(sound.replaceAll("(\"peerAddress\":)\"[^\"]*\"", "$1\"" + address + '"'));
    }
    for (String field :
        new String[] {"daemon", "life", "address", "domain", "state", "usage", "loads", "work"}) {
      rows.add(sound.replace('"' + field + '"', "\"other\""));
    }
    rows.add(sound.replace("\"loads\":{", "\"loads\":{\"e1\":null"));
    rows.add(sound.replace("\"work\":{", "\"work\":{\"s\":null"));
    rows.add(sound.replace("\"usage\":{", "\"usage\":{\"1\":null"));
    rows.add(sound.replace("\"usage\":{", "\"usage\":{\"1\":{\"acme\":null}"));
    rows.add(sound.replace("\"suspects\":[", "\"suspects\":[null"));
    rows.add(sound.replace("\"suspects\":[", "\"suspects\":[{}"));
    rows.add(sound.replace("\"sequence\":1", "\"sequence\":" + "9".repeat(5_000)));
    rows.add(sound.replace("\"suspects\":[", "\"suspects\":[{\"crashAgesMillis\":{\"e1\":1}}"));
    rows.add(
        sound.replace(
            "\"suspects\":[",
            "\"suspects\":[{\"suspect\":{\"kind\":\"REQUEST\"},\"crashAgesMillis\":{\"e1\":1}}"));
    rows.add(
        sound.replace(
            "\"suspects\":[",
            "\"suspects\":[{\"suspect\":{\"fingerprint\":\"f\"},\"crashAgesMillis\":{\"e1\":1}}"));
    rows.add(sound.replace("\"endpointLimits\":[", "\"endpointLimits\":[{\"ratePerSecond\":1}"));
    rows.add(sound.replace("\"sequence\":1", "\"sequence\":1e400"));
    rows.add(sound.replace("\"linkMbps\":10", "\"linkMbps\":" + "[".repeat(100_000)));
    List<String> failures = new ArrayList<>();
    for (String row : rows) {
      assertThat(row).isNotEqualTo(sound);
      byte[] value = row.getBytes(StandardCharsets.UTF_8);
      try {
        listener.onChanges(
            new SharedReadResult(List.of(new SharedRow("odd", value, 1, false)), 1, 10_000));
      } catch (RuntimeException e) {
        failures.add(row + ": " + e);
      }
    }
    assertThat(failures).isEmpty();
    runRound(Set.of(), null);
    assertThat(state.daemonCount()).isEqualTo(DAEMONS);
  }
}
