package org.heatherspread.node.control;

import com.fasterxml.jackson.core.type.TypeReference;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.heatherspread.core.duty.DutyClient;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.DaemonState;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.fleet.SilenceDetector;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.lease.LeaseClient;
import org.heatherspread.core.lease.LeaseSettings;
import org.heatherspread.core.limit.LimitObservation;
import org.heatherspread.core.limit.ReportSchedule;
import org.heatherspread.core.poison.CrashEvidence;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.rollout.RolloutStore;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.node.peer.DomainReaderStore;
import org.heatherspread.node.peer.FactKinds;
import org.heatherspread.node.peer.LoadExchange;
import org.heatherspread.node.peer.MirroredTable;
import org.heatherspread.node.peer.PeerClient;
import org.heatherspread.node.peer.PeerRequestHandler;
import org.heatherspread.node.peer.SharedFacts;
import org.heatherspread.node.peer.SharedStreamOrigins;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.PlatformTables;
import org.heatherspread.platform.RegistrationParser;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.caller.CallerRequestHandler;

/**
 * Runs the control work of a daemon as tasks on its event loop: follows the shared tables, writes
 * this daemon's report and performs the duties while it holds their lease. Confined to the event
 * loop after {@link #start}.
 */
public final class ControlPlane {
  /** Time for which a daemon counts as live without a new report. */
  private static final Duration LIVENESS_TIMEOUT = Duration.ofMillis(3_800);

  /**
   * Maximum wait for configuration changes. The age of the configuration counts from the start of
   * the last answered wait, so it reaches twice this value, which must stay well below the time for
   * which keys are accepted without the store.
   */
  private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1_200);

  private static final Duration ENDPOINT_WAIT = Duration.ofMillis(2_000);

  /** Pause after a response about endpoints, so that several changes arrive in one read. */
  private static final Duration ENDPOINT_PAUSE = Duration.ofMillis(150);

  /**
   * Maximum wait for changes where one daemon reads for its failure domain, short enough that the
   * others detect within about a second that the reader has lost the store.
   */
  private static final Duration DOMAIN_READER_WAIT = Duration.ofMillis(300);

  /** Pause after a response in such a domain, so that several changes arrive in one read. */
  private static final Duration DOMAIN_READER_PAUSE = Duration.ofMillis(200);

  /** Pause between two reads of the daemon reports in such a domain. */
  private static final Duration DOMAIN_READER_FLEET_PAUSE = Duration.ofMillis(400);

  /**
   * Pause after a response about endpoints of a daemon that reads from another one. Registrations
   * change all the time, so there is hardly a wait between two pauses.
   */
  private static final Duration DOMAIN_MEMBER_ENDPOINT_PAUSE = Duration.ofMillis(400);

  /** Pause of such a daemon between two reads of the daemon reports. */
  private static final Duration DOMAIN_MEMBER_FLEET_PAUSE = Duration.ofMillis(600);

  /** Bounds the reports of all daemons to what the store carries beside its other load. */
  private static final ReportSchedule REPORT_SCHEDULE =
      new ReportSchedule(Duration.ofMillis(1_500), 26);

  /**
   * Pause between two reads of the daemon reports until this daemon finds itself in them: the
   * others already ask it to decide on the limits that it owns.
   */
  private static final Duration START_FLEET_PAUSE = Duration.ofMillis(250);

  /** Time after a start in which the first configuration is expected. */
  private static final long MAX_START_MILLIS = 5_000;

  /** Bounds the reports while they name streams that may have to be found after a restart. */
  private static final ReportSchedule STREAM_REPORT_SCHEDULE =
      new ReportSchedule(Duration.ofMillis(600), 150);

  private static final Duration FULL_READ_INTERVAL = Duration.ofSeconds(20);

  /** Rank of every daemon after the first two. */
  private static final int MAX_RANK = 2;

  /** Minimum time after its last report for which a daemon is a candidate for the duties. */
  private static final long MIN_CANDIDATE_MILLIS = 2_200;

  /** The same time in report intervals, for large fleets, which report less often. */
  private static final double CANDIDATE_INTERVALS = 1.5;

  /** Shorter than the default lease, which is longer than an endpoint's notice of leaving. */
  private static final LeaseSettings LEASE_SETTINGS =
      new LeaseSettings(
          Duration.ofMillis(2_800),
          Duration.ofMillis(400),
          Duration.ofMillis(800),
          Duration.ofMillis(800));

  private final NodeSettings settings;
  private final RelayState state;
  private final SharedStore store;
  private final SharedStore domainReaderStore;
  private final SharedFacts facts;
  private final IsolationMonitor isolationMonitor;
  private final LoadExchange loadExchange;
  private final PeerRequestHandler peerHandler;
  private final PeerClient peers;
  private final TableStore tableStore;
  private final DutyClient dutyClient;
  private final SharedStreamOrigins streamOrigins;
  private final Supplier<DaemonReport> report;
  private final BooleanSupplier reportWritten;
  private final String incarnation = UUID.randomUUID().toString().substring(0, 8);
  private final FleetView fleet = FleetView.create(LIVENESS_TIMEOUT.toMillis());
  private final EndpointListener endpointListener;
  private final FleetListener fleetListener;
  private final RolloutControl rollouts;
  private final long createdMillis;
  private Map<String, Set<String>> reportedVersions = Map.of();
  private boolean reportedReady;
  private boolean leaving;
  private LeaseClient lease;
  private SupervisedTask<ReportWriter> reportWriter;
  private SupervisedTask<DutyRunner> dutyRunner;

  private ControlPlane(
      NodeSettings settings,
      RelayState state,
      SharedStore store,
      TableStore tableStore,
      RolloutStore rolloutStore,
      DutyClient dutyClient,
      PeerClient peers,
      SharedStreamOrigins streamOrigins,
      Supplier<DaemonReport> report,
      BooleanSupplier reportWritten) {
    this.createdMillis = state.clock().millis();
    this.reportWritten = reportWritten;
    this.settings = settings;
    this.state = state;
    this.store = store;
    this.tableStore = tableStore;
    this.dutyClient = dutyClient;
    this.streamOrigins = streamOrigins;
    this.report = report;
    this.peers = peers;
    this.endpointListener = new EndpointListener(state, RegistrationParser::parse);
    this.facts = SharedFacts.create(settings.name(), incarnation, state.clock());
    this.rollouts = RolloutControl.create(state, facts, rolloutStore, settings.name());
    this.isolationMonitor = IsolationMonitor.create(state, facts, settings.name());
    this.loadExchange =
        LoadExchange.create(state, settings.name(), peers, facts, this::domainReaders);
    this.fleetListener =
        new FleetListener(
            state,
            fleet,
            settings.name(),
            settings.domain(),
            peers,
            loadExchange::isFresh,
            REPORT_SCHEDULE,
            LIVENESS_TIMEOUT);
    this.domainReaderStore =
        DomainReaderStore.create(store, this::remoteReader, peers, state.clock());
    this.peerHandler =
        PeerRequestHandler.create(state, this::isReader, loadExchange, streamOrigins);
  }

  /**
   * Creates a control plane that is not started.
   *
   * @param tableStore holds the duty lease and the usage counts that were reported
   * @param rolloutStore holds the states of moves of services to other versions
   * @param dutyClient null if this daemon has no duties
   * @param streamOrigins origins of streams, also for requests of other daemons
   * @param report supplies the current report of this daemon, with a higher sequence each time
   * @param reportWritten called after each write of a report; returns whether another one is needed
   */
  public static ControlPlane create(
      NodeSettings settings,
      RelayState state,
      SharedStore store,
      TableStore tableStore,
      RolloutStore rolloutStore,
      DutyClient dutyClient,
      PeerClient peers,
      SharedStreamOrigins streamOrigins,
      Supplier<DaemonReport> report,
      BooleanSupplier reportWritten) {
    return new ControlPlane(
        settings,
        state,
        store,
        tableStore,
        rolloutStore,
        dutyClient,
        peers,
        streamOrigins,
        report,
        reportWritten);
  }

  /** Returns the random id of this process, different after each start. */
  public String incarnation() {
    return incarnation;
  }

  /** Returns whether this daemon certainly holds the duty lease. */
  public boolean holdsDuties() {
    return lease != null && lease.fencingToken().isPresent();
  }

  /** Returns the daemons as last read. */
  public FleetView fleet() {
    return fleet;
  }

  /**
   * Returns the daemons that have not been heard for some time although their reports are valid.
   */
  public Set<String> silentDaemons() {
    return loadExchange.silentDaemons();
  }

  /** Returns the entries of daemons that have a path to the endpoints, or all if none has. */
  public <V> Map<String, V> retainReachable(Map<String, V> byDaemon) {
    return isolationMonitor.retainReachable(byDaemon);
  }

  /** Returns the addresses for daemons of those others that can serve requests of callers. */
  private Map<String, HostPort> forwardingTargets() {
    Set<String> isolated = isolationMonitor.isolatedDaemons();
    Map<String, HostPort> targets = new HashMap<>();
    for (DaemonReport daemon : fleet.liveReports()) {
      boolean serves =
          daemon.state() == DaemonState.READY
              && !daemon.daemon().equals(settings.name())
              && !daemon.peerAddress().isEmpty()
              && !isolated.contains(daemon.daemon());
      if (serves) {
        targets.put(daemon.daemon(), HostPort.parse(daemon.peerAddress()));
      }
    }
    return SilenceDetector.retainHeard(targets, silentDaemons());
  }

  /** Returns whether the endpoints and the daemon reports have been read at least once. */
  public boolean isFleetInitialized() {
    return endpointListener.isInitialized() && fleetListener.isInitialized();
  }

  /** Returns the handler of requests from other daemons. */
  public CallerRequestHandler peerHandler() {
    return peerHandler;
  }

  /** Returns whether this daemon reads the store for its failure domain. */
  private boolean isReader() {
    return fleetListener.reader().equals(Optional.of(settings.name()));
  }

  private LoadExchange.DomainReaders domainReaders() {
    return fleetListener.domainReaders();
  }

  private Optional<String> remoteReader() {
    return isReader() ? Optional.empty() : fleetListener.reader();
  }

  private Duration select(Duration withReader, Duration withoutReader) {
    return fleetListener.reader().isPresent() ? withReader : withoutReader;
  }

  /** Starts the tasks. Must be called outside the event loop, as it waits for that loop. */
  public void start() {
    state.loop().submit(this::startTasks).syncUninterruptibly();
  }

  private void startTasks() {
    watch(
        new TableWatcher.WatchSettings(
            PlatformTables.OPERATORS,
            () -> select(DOMAIN_READER_WAIT, CONFIGURATION_WAIT),
            () -> select(DOMAIN_READER_PAUSE, Duration.ZERO),
            FULL_READ_INTERVAL),
        state.storeFreshness(),
        rollouts.operatorsListener());
    watch(
        new TableWatcher.WatchSettings(
            PlatformTables.ENDPOINTS,
            () -> select(DOMAIN_READER_WAIT, ENDPOINT_WAIT),
            () ->
                select(
                    isReader() ? DOMAIN_READER_PAUSE : DOMAIN_MEMBER_ENDPOINT_PAUSE,
                    ENDPOINT_PAUSE),
            FULL_READ_INTERVAL),
        createFreshness(),
        endpointListener);
    watch(
        new TableWatcher.WatchSettings(
            ReportWriter.TABLE,
            () -> select(DOMAIN_READER_WAIT, Duration.ZERO),
            this::fleetPause,
            FULL_READ_INTERVAL),
        createFreshness(),
        rollouts.reportsListener(fleetListener));
    reportWriter =
        startTask(
            "reporter",
            context ->
                ReportWriter.start(
                    context,
                    settings.name() + '/' + incarnation,
                    report,
                    store,
                    this::reportPause,
                    reportWritten));
    loadExchange.start();
    streamOrigins.onMisleadingReport(() -> reportWriter.tell(ReportWriter::report));
    shareFacts();
    isolationMonitor.start();
    rollouts.start(() -> reportWriter.tell(ReportWriter::report));
    state.forwarding().setTargets(settings.name(), this::forwardingTargets);
    if (dutyClient != null || rollouts.isEnabled()) {
      dutyRunner = startTask("duties", this::startDutyRunner);
    }
  }

  private <T> SupervisedTask<T> startTask(String name, Function<TaskContext, T> factory) {
    return SupervisedTask.start(state.loop(), state.random(), name, factory);
  }

  /**
   * Publishes what this daemon learns to all others and applies what they learn. The reports repeat
   * it for daemons that a partition separates from the exchange, or that start later.
   */
  private void shareFacts() {
    facts.onFact(
        FactKinds.CRASH_EVIDENCE,
        new TypeReference<List<CrashEvidence>>() {},
        (daemon, evidence, ageMillis) -> state.poisonFilter().mergeEvidence(evidence, ageMillis));
    facts.onFact(
        FactKinds.ENDPOINT_LIMITS,
        new TypeReference<List<LimitObservation>>() {},
        state.endpointLimits()::merge);
    facts.onFact(
        FactKinds.LEAVING_ENDPOINTS,
        new TypeReference<List<EndpointIncarnation>>() {},
        (daemon, left, ageMillis) -> left.forEach(each -> state.mergeLeaving(each, daemon)));
    facts.onFact(
        FactKinds.STOPPED_ENDPOINTS,
        new TypeReference<List<EndpointIncarnation>>() {},
        (daemon, stopped, ageMillis) ->
            stopped.forEach(each -> state.mergeStopped(each, daemon, ageMillis)));
    facts.onFact(
        FactKinds.DOUBTFUL_ENDPOINTS,
        new TypeReference<List<EndpointIncarnation>>() {},
        (daemon, doubted, ageMillis) ->
            doubted.forEach(each -> state.mergeDoubt(each, daemon, ageMillis)));
    state
        .stoppedEndpoints()
        .onDoubt(each -> facts.publishUrgently(FactKinds.DOUBTFUL_ENDPOINTS, List.of(each)));
    state
        .stoppedEndpoints()
        .onStopped(each -> facts.publishUrgently(FactKinds.STOPPED_ENDPOINTS, List.of(each)));
    state
        .endpointNotices()
        .onLeaving(left -> facts.publishUrgently(FactKinds.LEAVING_ENDPOINTS, List.of(left)));
    state
        .poisonFilter()
        .onNewEvidence(() -> publish(FactKinds.CRASH_EVIDENCE, state.poisonFilter().evidence()));
    state
        .endpointLimits()
        .onChange(
            () -> publish(FactKinds.ENDPOINT_LIMITS, state.endpointLimits().ownObservations()));
  }

  private void publish(String kind, List<?> content) {
    if (!content.isEmpty()) {
      facts.publishUrgently(kind, content);
    }
    reportWriter.tell(ReportWriter::report);
  }

  private StoreFreshness createFreshness() {
    return StoreFreshness.create(state.clock(), Clock.systemUTC());
  }

  private void watch(
      TableWatcher.WatchSettings watchSettings, StoreFreshness freshness, TableListener listener) {
    MirroredTable mirror = new MirroredTable(state.loop(), freshness);
    peerHandler.addTable(watchSettings.table(), mirror);
    TableListener mirroring =
        new MirroringListener(listener, mirror, this::reportOnceReady, this::reportNewVersions);
    startTask(
        "watch-" + watchSettings.table(),
        context ->
            TableWatcher.start(context, watchSettings, domainReaderStore, freshness, mirroring));
  }

  /**
   * Writes a report as soon as the versions in use change: streams begin at a new version only once
   * a report names it.
   */
  private void reportNewVersions() {
    Map<String, Set<String>> versions = new HashMap<>();
    state
        .versionRouting()
        .splitSlots()
        .forEach((service, slots) -> versions.put(service, slots.keySet()));
    boolean known = versions.equals(reportedVersions);
    reportedVersions = versions;
    if (!known && reportWriter != null) {
      reportWriter.tell(ReportWriter::report);
    }
  }

  /**
   * Writes a report as soon as this daemon accepts callers, so that other daemons can direct
   * callers to it and choose it as their reader before its next regular report.
   */
  private void reportOnceReady() {
    boolean ready = isFleetInitialized() && state.config().isPresent();
    if (ready && !reportedReady && reportWriter != null) {
      reportedReady = true;
      reportWriter.tell(ReportWriter::report);
    }
  }

  private DutyRunner startDutyRunner(TaskContext context) {
    Supplier<String> writeIds = () -> UUID.randomUUID().toString();
    lease =
        LeaseClient.create(
            "duties",
            settings.name() + '/' + incarnation,
            LEASE_SETTINGS,
            tableStore,
            state.clock(),
            writeIds);
    Set<NodeSettings.Duty> assigned = settings.duties();
    List<DutyRunner.Duty> duties = new ArrayList<>();
    if (dutyClient != null && assigned.contains(NodeSettings.Duty.USAGE_REPORTING)) {
      duties.add(
          new UsageReportingDuty(
              state,
              fleet,
              tableStore,
              dutyClient,
              lease,
              settings.name(),
              settings.bounds().usageDue().toMillis(),
              writeIds));
    }
    if (dutyClient != null && assigned.contains(NodeSettings.Duty.AUTOSCALING)) {
      duties.add(new AutoscalingDuty(state, fleet, dutyClient, settings.name()));
    }
    duties.add(new CleanupDuty(state, fleet, store));
    if (rollouts.isEnabled()) {
      duties.add(rollouts.createDuty(fleet, settings.bounds(), writeIds));
    }
    PauseDetector pauseDetector = new PauseDetector(state.clock(), Clock.systemUTC());
    Runnable abortCalls = dutyClient == null ? () -> {} : dutyClient::abortCalls;
    return DutyRunner.start(context, lease, abortCalls, new ReportRank(), duties, pauseDetector);
  }

  /**
   * Returns the pause after a read of the daemon reports. The first reads of the reports and of the
   * configuration end in any order, so the pause is short before the configuration, too.
   */
  private Duration fleetPause() {
    boolean configured =
        state.config().isPresent() || state.clock().millis() - createdMillis < MAX_START_MILLIS;
    boolean starting = !leaving && configured && !fleetListener.isOwnerCandidate();
    if (starting) {
      return START_FLEET_PAUSE;
    }
    return select(
        isReader() ? DOMAIN_READER_FLEET_PAUSE : DOMAIN_MEMBER_FLEET_PAUSE, reportInterval());
  }

  /** Returns the time to the next report, which is shorter while reports name streams. */
  private Duration reportPause() {
    ReportSchedule schedule =
        streamOrigins.needsReports() ? STREAM_REPORT_SCHEDULE : REPORT_SCHEDULE;
    return schedule.interval(state.daemonCount());
  }

  private Duration reportInterval() {
    return REPORT_SCHEDULE.interval(state.daemonCount());
  }

  /** Ranks this daemon by name among those that reported recently. */
  private final class ReportRank implements DutyRunner.CandidateRank {
    @Override
    public int rank() {
      return ControlPlane.this.rank();
    }

    @Override
    public int daemonCount() {
      return state.daemonCount();
    }
  }

  private int rank() {
    List<String> names = new ArrayList<>();
    for (DaemonReport daemon :
        fleet.reportedWithin(
            Math.max(
                MIN_CANDIDATE_MILLIS,
                (long) (CANDIDATE_INTERVALS * reportInterval().toMillis())))) {
      names.add(daemon.daemon());
    }
    names.sort(null);
    int rank = names.indexOf(settings.name());
    return rank < 0 ? MAX_RANK : Math.min(rank, MAX_RANK);
  }

  /** Reports that this daemon is leaving, and gives up its duties. */
  public void leave() {
    leaving = true;
    if (reportWriter != null) {
      reportWriter.tell(ReportWriter::report);
    }
    if (dutyRunner != null) {
      dutyRunner.tell(DutyRunner::stop);
    }
  }
}
