package org.heatherspread.node.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.DaemonState;
import org.heatherspread.core.fleet.DomainReader;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.limit.ReportSchedule;
import org.heatherspread.core.serving.AccountRule;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.node.peer.LoadExchange;
import org.heatherspread.node.peer.PeerClient;
import org.heatherspread.relay.call.RelayState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes in the other daemons' reports and passes on what the relay needs of them: endpoint loads,
 * the true time, parts of limits. Confined to the event loop.
 */
final class FleetListener implements TableListener {
  private static final Logger log = LoggerFactory.getLogger(FleetListener.class);

  private final RelayState state;
  private final FleetView fleet;
  private final String self;
  private final String domain;
  private final PeerClient peers;
  private final BooleanSupplier loadsExchanged;
  private final ReportSchedule pace;
  private final Duration live;
  private Set<String> liveNames = Set.of();
  private Map<String, String> readers = Map.of();
  private boolean known;

  /**
   * Creates a listener.
   *
   * @param domain this daemon's failure domain
   * @param peers told where the other daemons are
   * @param loadsExchanged whether newer loads than those of reports are known
   * @param pace how often daemons report
   * @param live how long a daemon counts as live at least
   */
  FleetListener(
      RelayState state,
      FleetView fleet,
      String self,
      String domain,
      PeerClient peers,
      BooleanSupplier loadsExchanged,
      ReportSchedule pace,
      Duration live) {
    this.state = state;
    this.fleet = fleet;
    this.self = self;
    this.domain = domain;
    this.peers = peers;
    this.loadsExchanged = loadsExchanged;
    this.pace = pace;
    this.live = live;
  }

  /** Tells whether the daemons have been read at least once. */
  boolean isInitialized() {
    return known;
  }

  @Override
  public void onFullRead(SharedReading reading) {
    List<String> present = new ArrayList<>();
    for (SharedRow row : reading.rows()) {
      present.add(row.key());
    }
    known = true;
    fleet.retain(present);
    onChanges(reading);
  }

  @Override
  public void onChanges(SharedReading reading) {
    long now = state.clock().millis();
    for (SharedRow row : reading.rows()) {
      if (row.deleted()) {
        fleet.remove(row.key());
        continue;
      }
      Optional<DaemonReport> report = ReportFormat.read(row.value());
      if (report.isEmpty()) {
        log.atWarn().addKeyValue("row", row.key()).log("daemon report not readable");
        continue;
      }
      if (!fleet.knows(row.key(), report.get().sequence())) {
        fleet.put(row.key(), report.get(), now);
      }
    }
    fleet.read(now);
    derive();
  }

  private void derive() {
    fleet.liveFor(pace.lifetime(state.daemonCount(), live).toMillis());
    List<DaemonReport> reports = fleet.live();
    Map<String, EndpointLoad> loads = new HashMap<>();
    List<Long> offsets = new ArrayList<>();
    offsets.add(state.contact().wallClockOffsetMillis());
    Set<String> names = new TreeSet<>();
    for (DaemonReport report : reports) {
      names.add(report.daemon());
      if (report.daemon().equals(self)) {
        continue;
      }
      report.loads().forEach((id, load) -> loads.merge(id, load, EndpointLoad::plus));
      offsets.add(report.wallLessStoreMillis());
      state.crashes().heard(report.crashes());
    }
    if (!loadsExchanged.getAsBoolean()) {
      state.endpoints().updatePeerLoads(loads);
    }
    state.time().updateOffsets(offsets);
    state.daemons(names.size());
    peers(reports);
    if (!names.equals(liveNames)) {
      liveNames = names;
      log.atInfo().addKeyValue("daemons", String.join(" ", names)).log("live daemons changed");
    }
  }

  /**
   * Returns how long after its last report a daemon may still admit requests with keys: as long as
   * it trusts keys without the store, and its report may be two intervals old.
   */
  private long admittingMillis() {
    return state.keyTrustMillis() + 2 * pace.interval(state.daemonCount()).toMillis();
  }

  /** Takes in where the other daemons are, and which of them may keep limits. */
  private void peers(List<DaemonReport> reports) {
    Map<String, HostPort> addresses = new HashMap<>();
    Set<String> keepers = new TreeSet<>();
    for (DaemonReport report : reports) {
      if (report.peerAddress().isEmpty()) {
        continue;
      }
      addresses.put(report.daemon(), HostPort.parse(report.peerAddress()));
    }
    for (DaemonReport report : fleet.reportedWithin(admittingMillis())) {
      if (report.state() == DaemonState.READY) {
        keepers.add(report.daemon());
      }
    }
    peers.updateAddresses(addresses);
    List<AccountRule> accounts = state.config().map(ServingConfig::accounts).orElse(List.of());
    state.accounts().daemons(keepers, accounts);
    Map<String, String> found = new HashMap<>();
    for (DaemonReport report : reports) {
      if (!found.containsKey(report.domain())) {
        DomainReader.choose(reports, report.domain())
            .ifPresent(reader -> found.put(reader.domain(), reader.daemon()));
      }
    }
    readers = found;
  }

  /** Returns the daemon that reads the store for this failure domain, if one does. */
  Optional<String> reader() {
    return Optional.ofNullable(readers.get(domain));
  }

  /** Returns the daemons that read for the failure domains. */
  LoadExchange.DomainReaders domainReaders() {
    if (!readers.containsKey(domain)) {
      return LoadExchange.DomainReaders.NONE;
    }
    List<String> others = new ArrayList<>();
    readers.forEach(
        (where, daemon) -> {
          if (!where.equals(domain)) {
            others.add(daemon);
          }
        });
    return new LoadExchange.DomainReaders(readers.get(domain), others);
  }

  @Override
  public void onFailure(String reason) {
    // Nothing is concluded from silence: all that was known stays.
  }
}
