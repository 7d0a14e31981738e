package org.heatherspread.node.control;

import com.typesafe.config.Config;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import org.apache.pekko.actor.BootstrapSetup;
import org.apache.pekko.actor.setup.ActorSystemSetup;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.SupervisorStrategy;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.heatherspread.core.duty.DutyClient;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.lease.LeaseClient;
import org.heatherspread.core.lease.LeaseSettings;
import org.heatherspread.core.limit.ReportSchedule;
import org.heatherspread.core.store.SharedStore;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.node.peer.DomainReaderStore;
import org.heatherspread.node.peer.LoadExchange;
import org.heatherspread.node.peer.MirroredTable;
import org.heatherspread.node.peer.PeerClient;
import org.heatherspread.node.peer.PeerRequestHandler;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.ConfigurationFormat;
import org.heatherspread.platform.PlatformTables;
import org.heatherspread.platform.RegistrationFormat;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.caller.CallerHandler;
import scala.concurrent.ExecutionContext;

/** The control work of a daemon, as actors on its event loop. Confined to that loop. */
public final class ControlPlane {
  /** How long a daemon counts as live without a new report. */
  private static final Duration LIVE = Duration.ofMillis(3_800);

  /**
   * Knowledge of the configuration is up to twice as old as one wait, since it counts from when the
   * last answered wait began; that has to stay well below the time for which keys are trusted.
   */
  private static final Duration CONFIGURATION_WAIT = Duration.ofMillis(1_200);

  private static final Duration ENDPOINT_WAIT = Duration.ofMillis(2_000);

  /** Pause after an answer about endpoints, in which changes gather. */
  private static final Duration ENDPOINT_PAUSE = Duration.ofMillis(150);

  /**
   * Wait for changes where one daemon reads for its failure domain, short enough that the others
   * notice within about a second when it has lost the store.
   */
  private static final Duration RELAYED_WAIT = Duration.ofMillis(300);

  /** Pause after an answer there, in which changes gather. */
  private static final Duration RELAYED_PAUSE = Duration.ofMillis(200);

  /** Pause between two readings of the other daemons' reports there. */
  private static final Duration RELAYED_FLEET_PAUSE = Duration.ofMillis(400);

  /** Reports of all daemons stay within what the store carries beside its other work. */
  private static final ReportSchedule PACE = new ReportSchedule(Duration.ofMillis(1_500), 26);

  private static final Duration WHOLE_EVERY = Duration.ofSeconds(20);
  private static final int LAST_RANK = 2;

  /** How long after its last report a daemon counts as a candidate for the duties. */
  private static final long CANDIDATE_MILLIS = 2_200;

  private static final double CANDIDATE_INTERVALS = 1.5;

  /** Shorter than the usual lease, as an endpoint's notice of leaving is shorter than that. */
  private static final LeaseSettings LEASE =
      new LeaseSettings(
          Duration.ofMillis(2_800),
          Duration.ofMillis(400),
          Duration.ofMillis(800),
          Duration.ofMillis(800));

  private final NodeSettings settings;
  private final RelayState state;
  private final SharedStore store;
  private final SharedStore followed;
  private final LoadExchange exchange;
  private final PeerRequestHandler peerHandler;
  private final TableStore rows;
  private final DutyClient calls;
  private final Supplier<DaemonReport> report;
  private final String incarnation = UUID.randomUUID().toString().substring(0, 8);
  private final FleetView fleet = FleetView.create(LIVE.toMillis());
  private final EndpointListener endpoints;
  private final FleetListener daemons;
  private boolean reportedReady;
  private LeaseClient lease;
  private ActorSystem<Void> system;
  private ActorRef<ReportWriter.Command> reporter;
  private ActorRef<DutyRunner.Command> duties;

  private ControlPlane(
      NodeSettings settings,
      RelayState state,
      SharedStore store,
      TableStore rows,
      DutyClient calls,
      PeerClient peers,
      Supplier<DaemonReport> report) {
    this.settings = settings;
    this.state = state;
    this.store = store;
    this.rows = rows;
    this.calls = calls;
    this.report = report;
    this.endpoints = new EndpointListener(state, RegistrationFormat::read);
    this.exchange = LoadExchange.create(state, settings.name(), peers, this::readers);
    this.daemons =
        new FleetListener(
            state, fleet, settings.name(), settings.domain(), peers, exchange::isFresh, PACE, LIVE);
    this.followed = DomainReaderStore.create(store, this::otherReader, peers, state.clock());
    this.peerHandler = PeerRequestHandler.create(state, this::reads, exchange);
  }

  /**
   * Creates control work that is not started.
   *
   * @param calls null where this daemon has no duties
   * @param peers calls to the other daemons
   */
  public static ControlPlane create(
      NodeSettings settings,
      RelayState state,
      SharedStore store,
      TableStore rows,
      DutyClient calls,
      PeerClient peers,
      Supplier<DaemonReport> report) {
    return new ControlPlane(settings, state, store, rows, calls, peers, report);
  }

  /** Returns the random number of this process's incarnation. */
  public String incarnation() {
    return incarnation;
  }

  /** Tells whether this daemon has the duties, as far as its lease certainly holds. */
  public boolean holdsDuties() {
    return lease != null && lease.fencingToken().isPresent();
  }

  /** Returns the daemons as last read. */
  public FleetView fleet() {
    return fleet;
  }

  /** Tells whether the endpoints and the other daemons have been read. */
  public boolean isFleetInitialized() {
    return endpoints.isInitialized() && daemons.isInitialized();
  }

  /** Returns what answers the other daemons. */
  public CallerHandler peerHandler() {
    return peerHandler;
  }

  /** Tells whether this daemon reads the store for its failure domain. */
  private boolean reads() {
    return daemons.reader().equals(Optional.of(settings.name()));
  }

  private LoadExchange.DomainReaders readers() {
    return daemons.domainReaders();
  }

  private Optional<String> otherReader() {
    return reads() ? Optional.empty() : daemons.reader();
  }

  private Duration relayed(Duration there, Duration elsewhere) {
    return daemons.reader().isPresent() ? there : elsewhere;
  }

  /** Starts the actors; called from outside the event loop, which the start waits for. */
  public void start(Config config) {
    BootstrapSetup bootstrap =
        BootstrapSetup.create()
            .withConfig(config)
            .withDefaultExecutionContext(ExecutionContext.fromExecutor(state.loop()));
    system =
        ActorSystem.create(
            Behaviors.setup(this::guardian), "daemon", ActorSystemSetup.create(bootstrap));
  }

  private Behavior<Void> guardian(ActorContext<Void> context) {
    watch(
        context,
        new TableWatcher.WatchSettings(
            PlatformTables.OPERATORS,
            () -> relayed(RELAYED_WAIT, CONFIGURATION_WAIT),
            () -> relayed(RELAYED_PAUSE, Duration.ZERO),
            WHOLE_EVERY),
        state.contact(),
        new ConfigurationListener(state, PlatformTables.CONFIGURATION, ConfigurationFormat::read));
    watch(
        context,
        new TableWatcher.WatchSettings(
            PlatformTables.ENDPOINTS,
            () -> relayed(RELAYED_WAIT, ENDPOINT_WAIT),
            () -> relayed(RELAYED_PAUSE, ENDPOINT_PAUSE),
            WHOLE_EVERY),
        ownContact(),
        endpoints);
    watch(
        context,
        new TableWatcher.WatchSettings(
            ReportWriter.TABLE,
            () -> relayed(RELAYED_WAIT, Duration.ZERO),
            () -> relayed(RELAYED_FLEET_PAUSE, interval()),
            WHOLE_EVERY),
        ownContact(),
        daemons);
    reporter =
        context.spawn(
            restarting(
                ReportWriter.create(
                    settings.name() + '/' + incarnation, report, store, this::interval)),
            "reporter");
    exchange.start();
    if (calls != null) {
      duties = context.spawn(restarting(duties()), "duties");
    }
    return Behaviors.empty();
  }

  private StoreFreshness ownContact() {
    return StoreFreshness.create(state.clock(), Clock.systemUTC());
  }

  private void watch(
      ActorContext<Void> context,
      TableWatcher.WatchSettings watch,
      StoreFreshness contact,
      TableListener listener) {
    MirroredTable mirror = new MirroredTable(state.loop(), contact);
    peerHandler.addTable(watch.table(), mirror);
    TableListener both = new MirroringListener(listener, mirror, this::reportOnceReady);
    context.spawn(
        restarting(TableWatcher.create(watch, followed, contact, both)), "watch-" + watch.table());
  }

  /**
   * Reports as soon as this daemon takes callers, so that others tell callers of it and may choose
   * it as their reader without waiting for the next report.
   */
  private void reportOnceReady() {
    boolean ready = isFleetInitialized() && state.config().isPresent();
    if (ready && !reportedReady && reporter != null) {
      reportedReady = true;
      reporter.tell(ReportWriter.Command.REPORT);
    }
  }

  private static <T> Behavior<T> restarting(Behavior<T> behavior) {
    return Behaviors.supervise(behavior).onFailure(SupervisorStrategy.restart());
  }

  private Behavior<DutyRunner.Command> duties() {
    Supplier<String> ids = () -> UUID.randomUUID().toString();
    lease =
        LeaseClient.create(
            "duties", settings.name() + '/' + incarnation, LEASE, rows, state.clock(), ids);
    Set<NodeSettings.Duty> assigned = settings.duties();
    List<DutyRunner.Duty> list = new ArrayList<>();
    if (assigned.contains(NodeSettings.Duty.USAGE_REPORTING)) {
      list.add(
          new UsageReportingDuty(
              state,
              fleet,
              rows,
              calls,
              lease,
              settings.name(),
              settings.bounds().usageDue().toMillis(),
              ids));
    }
    if (assigned.contains(NodeSettings.Duty.AUTOSCALING)) {
      list.add(new AutoscalingDuty(state, fleet, calls, settings.name()));
    }
    list.add(new CleanupDuty(state, fleet, store));
    PauseDetector guard = new PauseDetector(state.clock(), Clock.systemUTC());
    return DutyRunner.create(lease, new ReportRank(), list, guard);
  }

  private Duration interval() {
    return PACE.interval(state.daemonCount());
  }

  /** This daemon's place by name among those that reported lately. */
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
            Math.max(CANDIDATE_MILLIS, (long) (CANDIDATE_INTERVALS * interval().toMillis())))) {
      names.add(daemon.daemon());
    }
    names.sort(null);
    int rank = names.indexOf(settings.name());
    return rank < 0 ? LAST_RANK : Math.min(rank, LAST_RANK);
  }

  /** Tells the others that this daemon leaves, and gives its duties up. */
  public void leave() {
    if (reporter != null) {
      reporter.tell(ReportWriter.Command.REPORT);
    }
    if (duties != null) {
      duties.tell(DutyRunner.Command.STOP);
    }
  }
}
