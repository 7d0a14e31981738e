package org.heatherspread.node.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.DaemonState;
import org.heatherspread.core.fleet.DomainReaderSelector;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.limit.ReportSchedule;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.node.peer.LoadExchange;
import org.heatherspread.node.peer.PeerClient;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes the reports of all daemons and updates the relay from them: endpoint loads, crash
 * evidence, the estimate of Unix time, the owners of account limits and the readers of the failure
 * domains. Confined to the event loop.
 */
final class FleetListener implements TableListener {
  private static final Logger log = LoggerFactory.getLogger(FleetListener.class);

  private final RelayState state;
  private final FleetView fleet;
  private final String self;
  private final String domain;
  private final PeerClient peers;
  private final BooleanSupplier loadsExchanged;
  private final ReportSchedule reportSchedule;
  private final Duration minLifetime;
  private Set<String> liveNames = Set.of();
  private Map<String, String> readersByDomain = Map.of();
  private LoadExchange.DomainReaders exchangeReaders = LoadExchange.DomainReaders.NONE;
  private boolean initialized;
  private boolean ownerCandidate;

  /**
   * Creates a listener.
   *
   * @param self name of this daemon
   * @param domain failure domain of this daemon
   * @param peers receives the addresses of the live daemons
   * @param loadsExchanged whether newer endpoint loads than those of the reports are known
   * @param minLifetime minimum time for which a daemon counts as live after a report
   */
  FleetListener(
      RelayState state,
      FleetView fleet,
      String self,
      String domain,
      PeerClient peers,
      BooleanSupplier loadsExchanged,
      ReportSchedule reportSchedule,
      Duration minLifetime) {
    this.state = state;
    this.fleet = fleet;
    this.self = self;
    this.domain = domain;
    this.peers = peers;
    this.loadsExchanged = loadsExchanged;
    this.reportSchedule = reportSchedule;
    this.minLifetime = minLifetime;
  }

  /** Returns whether the reports have been read at least once. */
  boolean isInitialized() {
    return initialized;
  }

  /** Returns whether this daemon may own limits, as it has read its own report that it is ready. */
  boolean isOwnerCandidate() {
    return ownerCandidate;
  }

  @Override
  public void onFullRead(SharedReadResult result, boolean restored) {
    List<String> present = new ArrayList<>();
    for (SharedRow row : result.rows()) {
      present.add(row.key());
    }
    if (!restored) {
      // After a restore of the store, daemons write the reports again that it lost.
      fleet.retainRows(present);
    }
    boolean first = !initialized;
    initialized = true;
    if (first) {
      state.setDaemonCount(result.rows().size());
    }
    update(result, first);
  }

  @Override
  public void onChanges(SharedReadResult result) {
    update(result, false);
  }

  /**
   * Stores the reports that changed.
   *
   * @param first whether they are the first ones, so that some may be those of ended daemons
   */
  private void update(SharedReadResult result, boolean first) {
    long now = state.clock().millis();
    for (SharedRow row : result.rows()) {
      if (row.deleted()) {
        fleet.remove(row.key());
        continue;
      }
      Optional<DaemonReport> report = ReportFormat.read(row.value());
      if (report.isEmpty()) {
        log.atWarn().addKeyValue("row", row.key()).log("daemon report not readable");
        continue;
      }
      if (!fleet.hasReport(row.key(), report.get().sequence())) {
        if (first && report.get().atStoreMillis() > 0) {
          fleet.putOld(row.key(), report.get(), ageMillis(report.get(), result), now);
        } else {
          fleet.put(row.key(), report.get(), now);
        }
        mergeObservations(report.get(), result);
      }
    }
    fleet.markRead(now);
    applyReports(result.ageMillis());
  }

  /**
   * Merges the evidence, the limits and the estimates of a report, also of a process that has
   * ended: after a restart of all daemons, only such reports have them.
   */
  private void mergeObservations(DaemonReport report, SharedReadResult result) {
    long ageMillis = ageMillis(report, result);
    state.poisonFilter().mergeEvidence(report.suspects(), ageMillis);
    state.endpointLimits().merge(report.daemon(), report.endpointLimits(), ageMillis);
    state.adoptEngineEstimates(report.engines());
  }

  private static long ageMillis(DaemonReport report, SharedReadResult result) {
    long storeMillis = result.storeMillis() + result.ageMillis();
    return Math.max(0, storeMillis - report.atStoreMillis());
  }

  private void applyReports(long ageMillis) {
    fleet.setLivenessTimeout(reportSchedule.lifetime(state.daemonCount(), minLifetime).toMillis());
    List<DaemonReport> reports = fleet.liveReports();
    Map<String, EndpointLoad> loads = new HashMap<>();
    List<Long> offsets = new ArrayList<>();
    offsets.add(state.storeFreshness().wallClockOffsetMillis());
    SortedSet<String> liveNow = new TreeSet<>();
    for (DaemonReport report : reports) {
      liveNow.add(report.daemon());
      if (report.daemon().equals(self)) {
        continue;
      }
      report.loads().forEach((id, load) -> loads.merge(id, load, EndpointLoad::plus));
      offsets.add(report.wallLessStoreMillis());
    }
    if (!loadsExchanged.getAsBoolean()) {
      state.endpoints().updatePeerLoads(loads, state.clock().millis());
    }
    state.unixTime().updateOffsets(offsets);
    state.setDaemonCount(liveNow.size());
    state.endpointNotices().updateDaemons(self, liveNow);
    if (!liveNow.equals(liveNames)) {
      liveNames = liveNow;
      log.atInfo().addKeyValue("daemons", String.join(" ", liveNow)).log("live daemons changed");
    }
    updatePeers(reports, ageMillis);
  }

  /**
   * Returns the time after its last report for which a daemon may still admit requests: the time
   * for which it accepts keys without the store, plus two report intervals, the possible age of its
   * report.
   */
  private long maxAdmissionMillis() {
    return state.keyTrustMillis() + 2 * reportSchedule.interval(state.daemonCount()).toMillis();
  }

  /**
   * Returns the time from a read of the reports for which a limit owner decides. It ends before the
   * other daemons cease to regard a silent daemon as an owner.
   */
  private long leaseMillis() {
    return state.keyTrustMillis() + reportSchedule.interval(state.daemonCount()).toMillis();
  }

  /**
   * Updates the peer addresses, the possible limit owners and the domain readers.
   *
   * @param ageMillis age of the reports
   */
  private void updatePeers(List<DaemonReport> reports, long ageMillis) {
    Map<String, HostPort> addresses = new HashMap<>();
    Set<String> possibleOwners = new TreeSet<>();
    Set<String> admitting = new TreeSet<>();
    for (DaemonReport report : fleet.reportedWithin(maxAdmissionMillis())) {
      admitting.add(report.daemon());
      if (report.state() == DaemonState.READY) {
        possibleOwners.add(report.daemon());
      }
      if (!report.peerAddress().isEmpty()) {
        addresses.put(report.daemon(), HostPort.parse(report.peerAddress()));
      }
    }
    ownerCandidate = possibleOwners.contains(self);
    peers.updateAddresses(addresses, liveNames);
    List<AccountConfig> accounts = state.config().map(ServingConfig::accounts).orElse(List.of());
    state
        .accountAdmission()
        .updateDaemons(possibleOwners, admitting, leaseMillis() - ageMillis, accounts);
    state
        .endpointLimits()
        .updateDaemons(
            possibleOwners, admitting, leaseMillis() - ageMillis, state.endpoints().ids());
    Map<String, String> newReaders = new HashMap<>();
    for (DaemonReport report : reports) {
      if (!newReaders.containsKey(report.domain())) {
        DomainReaderSelector.select(reports, report.domain())
            .ifPresent(reader -> newReaders.put(reader.domain(), reader.daemon()));
      }
    }
    readersByDomain = newReaders;
    exchangeReaders = LoadExchange.DomainReaders.of(reports, newReaders, domain);
  }

  /** Returns the daemon that reads the store for this failure domain, empty if none does. */
  Optional<String> reader() {
    return Optional.ofNullable(readersByDomain.get(domain));
  }

  /** Returns the daemons with which this daemon exchanges loads. */
  LoadExchange.DomainReaders domainReaders() {
    return exchangeReaders;
  }

  @Override
  public void onFailure(String reason) {
    // A store outage says nothing about the daemons, so the last reports stay in effect.
  }
}
