package org.heatherspread.node;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.DaemonState;
import org.heatherspread.core.fleet.FleetView;
import org.heatherspread.core.fleet.SilenceDetector;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.freshness.UnixTimeEstimator;
import org.heatherspread.core.limit.EndpointLimitTable;
import org.heatherspread.core.limit.OvershootAllowance;
import org.heatherspread.core.limit.PartitionedLimiter;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.ClientLimits;
import org.heatherspread.core.serving.Feature;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.stream.OpenStreams;
import org.heatherspread.core.stream.StreamOriginTable;
import org.heatherspread.core.stream.StreamReport;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.core.usage.UsageWindows;
import org.heatherspread.node.control.ControlPlane;
import org.heatherspread.node.control.StreamReportView;
import org.heatherspread.node.peer.DaemonRequestHandler;
import org.heatherspread.node.peer.PeerClient;
import org.heatherspread.node.peer.SharedStreamOrigins;
import org.heatherspread.node.serve.DirectoryHandler;
import org.heatherspread.node.serve.ProbeHandler;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.DirectoryFormat;
import org.heatherspread.platform.PlatformDutyClient;
import org.heatherspread.platform.PlatformHeaders;
import org.heatherspread.platform.PlatformRolloutStore;
import org.heatherspread.platform.PlatformStore;
import org.heatherspread.platform.PlatformStreamMigrator;
import org.heatherspread.relay.buffer.BufferBudget;
import org.heatherspread.relay.call.CallMetrics;
import org.heatherspread.relay.call.EndpointLimits;
import org.heatherspread.relay.call.EndpointNotices;
import org.heatherspread.relay.call.LimitAdmission;
import org.heatherspread.relay.call.RelayHandler;
import org.heatherspread.relay.call.RelaySettings;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.caller.CallerPressure;
import org.heatherspread.relay.caller.CallerServer;
import org.heatherspread.relay.endpoint.ConnectionPool;
import org.heatherspread.relay.endpoint.PoolSettings;
import org.heatherspread.relay.rpc.RpcClient;
import org.heatherspread.relay.rpc.RpcMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One daemon, which runs the relay, the directory, the readiness probe, metrics and the control
 * plane on one event loop.
 *
 * <p>Invariants: the daemon is ready only once it has read a configuration, the endpoints and the
 * other daemons; a stop interrupts no request that completes within the grace period. {@link
 * #start} and {@link #stop} may be called from any thread.
 */
public final class Node {
  private static final Logger log = LoggerFactory.getLogger(Node.class);

  /** Fraction of the revocation bound for which keys are accepted after a configuration read. */
  private static final double KEY_ACCEPTANCE_RATIO = 0.8;

  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long MAX_IDLE_CONNECTION_MILLIS = 15_000;
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(900);
  private static final Duration MIGRATION_TIMEOUT = Duration.ofMillis(900);
  private static final Duration CLOUD_TIMEOUT = Duration.ofMillis(1_000);

  /** Time for which callers may cache a directory response, unless the settings lower it. */
  private static final Duration DIRECTORY_TTL = Duration.ofSeconds(2);

  /** Time after SIGTERM during which new connections are still accepted. */
  private static final Duration LISTEN_AFTER_STOP = Duration.ofMillis(1_200);

  /** Share of the grace period in which requests are passed on whatever time they may take. */
  private static final double ACCEPTANCE_RATIO = 0.25;

  /**
   * Time before the end of the grace period at which requests without a response get one, so that
   * callers can read it before the process ends.
   */
  private static final Duration LAST_RESPONSES_MARGIN = Duration.ofMillis(1_200);

  /**
   * Time before the end of the grace period at which a stop ends, whatever callers have not read:
   * the process has to write its last log lines and to exit before it is killed, with a share of a
   * core.
   */
  private static final Duration EXIT_MARGIN = Duration.ofMillis(800);

  /**
   * Maximum age of the newest store read with which the directory includes this daemon's address.
   */
  private static final long MAX_READ_AGE_FOR_OWN_ADDRESS_MILLIS = 3_200;

  /**
   * Window over which limits of endpoints are measured, and the excess that the platform permits:
   * half of the limit and five requests.
   */
  private static final OvershootAllowance ENDPOINT_LIMIT_ALLOWANCE =
      new OvershootAllowance(4, 0.5, 5);

  /**
   * Maximum number of streams whose origins are kept, those of a busy daemon and its copies in some
   * minutes; a few megabytes.
   */
  private static final int MAX_STREAM_ORIGINS = 20_000;

  /** Maximum number of streams in a report, some tens of bytes each. */
  private static final int MAX_OPEN_STREAMS = 1_000;

  /** Time for which a version is reported after the last stream began at it. */
  private static final Duration STREAM_VERSION_RETENTION = Duration.ofSeconds(40);

  /** Maximum number of endpoint limits in a report, a few kilobytes. */
  private static final int MAX_REPORTED_LIMITS = 64;

  /**
   * Time that a busy event loop may take beyond the end of a stop; a stop during a start may find
   * it busy for longer than the whole grace period.
   */
  private static final Duration STOP_SLACK = Duration.ofMillis(200);

  /** Space for the headers that a daemon adds to a request that it forwards. */
  private static final int FORWARD_HEADER_BYTES = 1_024;

  private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(50);
  private static final int RETAINED_USAGE_WINDOWS = 6;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final NodeSettings settings;
  private final EventLoop loop;
  private final RelayState state;
  private final PrometheusMeterRegistry registry;
  private final ControlPlane control;
  private final OpenStreams openStreams;
  private final CallerServer callers;
  private final CallerServer directory;
  private final CallerServer readiness;
  private final CallerServer metrics;
  private final PeerClient peers;
  private final CallerServer peerServer;
  private DaemonState daemonState = DaemonState.STARTING;
  private long reportSequence;

  private Node(NodeSettings settings) {
    this.settings = settings;
    this.loop = new NioEventLoopGroup(1).next();
    this.registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    RpcMetrics rpcMetrics = RpcMetrics.create(registry);
    MonotonicClock clock = MonotonicClock.system();
    InstantSource wallClock = Clock.systemUTC();
    RandomGenerator random = new SplittableRandom(new SecureRandom().nextLong());
    NodeSettings.Bounds bounds = settings.bounds();
    StoreFreshness storeFreshness = StoreFreshness.create(clock, wallClock);
    PoolSettings poolSettings =
        new PoolSettings(CONNECT_TIMEOUT_MILLIS, MAX_IDLE_CONNECTION_MILLIS);
    this.peers =
        PeerClient.create(
            settings.name(), address -> RpcClient.create(loop, clock, address, rpcMetrics));
    this.openStreams =
        OpenStreams.create(clock, STREAM_VERSION_RETENTION.toMillis(), MAX_OPEN_STREAMS);
    SharedStreamOrigins streamOrigins =
        SharedStreamOrigins.create(
            settings.name(),
            loop,
            StreamOriginTable.create(clock, MAX_STREAM_ORIGINS),
            openStreams,
            peers,
            StreamReportView.create(this::fleet, this::relayState, clock));
    this.state =
        new RelayState(
            loop,
            clock,
            random,
            relaySettings(settings),
            storeFreshness,
            UnixTimeEstimator.create(storeFreshness),
            ConnectionPool.create(
                loop, clock, poolSettings, PlatformHeaders.relayHeaderNames().requestId()),
            CallMetrics.create(registry),
            UsageWindows.create(bounds.usageWindow().toMillis(), RETAINED_USAGE_WINDOWS),
            healthPolicy(),
            PlatformStreamMigrator.create(
                address -> RpcClient.create(loop, clock, address, rpcMetrics), MIGRATION_TIMEOUT),
            AccountLimits.create(
                settings, clock, overshootAllowance(bounds), peers.accountLimits(), loop),
            EndpointLimits.create(
                EndpointLimitTable.create(clock, MAX_REPORTED_LIMITS),
                LimitAdmission.create(
                    PartitionedLimiter.create(settings.name(), clock, ENDPOINT_LIMIT_ALLOWANCE),
                    peers.endpointLimits())),
            EndpointNotices.create(PlatformHeaders.relayHeaderNames(), clock, random),
            streamOrigins,
            BufferBudget.forProcess());
    PlatformStore store =
        PlatformStore.create(
            RpcClient.create(loop, clock, settings.store(), rpcMetrics), STORE_TIMEOUT);
    PlatformDutyClient cloud =
        settings.cloud().isEmpty()
            ? null
            : PlatformDutyClient.create(
                RpcClient.create(loop, clock, HostPort.parse(settings.cloud()), rpcMetrics),
                CLOUD_TIMEOUT);
    this.control =
        ControlPlane.create(
            settings,
            state,
            store,
            store,
            PlatformRolloutStore.create(store),
            cloud,
            peers,
            streamOrigins,
            this::createReport,
            openStreams::onReportWritten);
    RelayHandler relay = RelayHandler.create(state, PlatformHeaders.relayHeaderNames());
    CallerPressure pressure = CallerPressure.create(settings.callerProtection(), clock);
    this.callers =
        CallerServer.create(loop, clock, state::clientLimits, relay, state.buffers(), pressure);
    NodeMetrics.create(registry, state, control, callers, pressure);
    if (state.hasFeature(Feature.QUEUEING)) {
      AccountLimits.publishUse(registry, loop, state.accountAdmission());
    }
    RolloutMetrics.create(registry, state);
    this.directory =
        CallerServer.create(
            loop,
            clock,
            ClientLimits::defaults,
            DirectoryHandler.create(
                DirectoryFormat.PATH,
                this::directoryAddresses,
                addresses -> DirectoryFormat.write(addresses, directoryTtl(bounds))),
            state.buffers(),
            pressure);
    this.peerServer =
        CallerServer.create(
            loop,
            clock,
            this::peerLimits,
            DaemonRequestHandler.create(
                control.peerHandler(),
                RelayHandler.createForDaemons(state, PlatformHeaders.relayHeaderNames())),
            state.buffers());
    this.readiness =
        CallerServer.create(
            loop,
            clock,
            ClientLimits::defaults,
            ProbeHandler.readiness(this::updateReadiness),
            state.buffers(),
            pressure);
    this.metrics =
        CallerServer.create(
            loop,
            clock,
            ClientLimits::defaults,
            ProbeHandler.text(registry::scrape),
            state.buffers(),
            pressure);
  }

  /** Creates a daemon that has not been started. */
  public static Node create(NodeSettings settings) {
    return new Node(settings);
  }

  /** Returns limits that let requests of callers through that other daemons forward. */
  private ClientLimits peerLimits() {
    ClientLimits defaults = ClientLimits.defaults();
    ClientLimits callerLimits = state.clientLimits();
    return new ClientLimits(
        Math.max(defaults.maxHeaderBytes(), callerLimits.maxHeaderBytes() + FORWARD_HEADER_BYTES),
        Math.max(defaults.maxBodyBytes(), callerLimits.maxBodyBytes()),
        defaults.headerTimeoutMillis(),
        defaults.idleTimeoutMillis());
  }

  private static RelaySettings relaySettings(NodeSettings settings) {
    NodeSettings.Bounds bounds = settings.bounds();
    return new RelaySettings(
        (long) (KEY_ACCEPTANCE_RATIO * bounds.revocation().toMillis()),
        bounds.retryRatio(),
        bounds.retryWindow().toMillis(),
        bounds.retryExtra(),
        settings.features());
  }

  private static OvershootAllowance overshootAllowance(NodeSettings.Bounds bounds) {
    return new OvershootAllowance(
        bounds.limitWindow().toMillis() / MILLIS_PER_SECOND,
        bounds.limitOvershoot(),
        bounds.limitTolerance());
  }

  private static HealthPolicy healthPolicy() {
    HealthPolicy defaults = HealthPolicy.defaults();
    return new HealthPolicy(
        defaults.consecutiveFailures(),
        defaults.slowRatio(),
        defaults.slowSamples(),
        Duration.ofMillis(500),
        Duration.ofSeconds(4),
        Duration.ofSeconds(2),
        defaults.maxEjectedShare());
  }

  private static Duration directoryTtl(NodeSettings.Bounds bounds) {
    return DIRECTORY_TTL.compareTo(bounds.directoryTtlMax()) < 0
        ? DIRECTORY_TTL
        : bounds.directoryTtlMax();
  }

  private boolean updateReadiness() {
    boolean initialized = state.config().isPresent() && control.isFleetInitialized();
    if (daemonState == DaemonState.STARTING && initialized) {
      daemonState = DaemonState.READY;
    }
    return daemonState == DaemonState.READY && state.acceptsKeys();
  }

  private Collection<String> directoryAddresses() {
    Map<String, String> others = new HashMap<>();
    for (DaemonReport report : control.fleet().liveReports()) {
      boolean isOther = !report.daemon().equals(settings.name());
      if (isOther && report.state() == DaemonState.READY) {
        others.put(report.daemon(), report.address());
      }
    }
    Map<String, String> heard = SilenceDetector.retainHeard(others, control.silentDaemons());
    Map<String, String> addresses = new HashMap<>(heard);
    // Without recent store reads, the last known other daemons are still returned: callers query
    // only a few daemons, all of which may have lost contact with the store.
    if (updateReadiness()
        && state.storeFreshness().ageMillis() <= MAX_READ_AGE_FOR_OWN_ADDRESS_MILLIS) {
      addresses.put(settings.name(), settings.callers().toString());
    }
    return new TreeSet<>(control.retainReachable(addresses).values());
  }

  private DaemonReport createReport() {
    updateReadiness();
    reportSequence++;
    return new DaemonReport(
        settings.name(),
        control.incarnation(),
        settings.callers().toString(),
        settings.peers().toString(),
        settings.domain(),
        settings.linkMbps(),
        daemonState,
        reportSequence,
        state.storeFreshness().storeMillis(),
        state.storeFreshness().wallClockOffsetMillis(),
        state.usage().snapshot(),
        state.endpoints().ownLoads(),
        List.of(),
        state.poisonFilter().evidence(),
        state.workMillisByService(),
        state.endpointLimits().ownObservations(),
        state.engineEstimates(),
        streamReport(),
        control.fleet().earliest(state.storeFreshness().eraObservation()),
        state.versionRouting().meter().counts());
  }

  private StreamReport streamReport() {
    return openStreams.report(
        state.storeFreshness().era(),
        state.storeFreshness().storeMillis(),
        state.versionRouting().splitSlots());
  }

  private FleetView fleet() {
    return control.fleet();
  }

  private RelayState relayState() {
    return state;
  }

  /** Starts the control plane and listens on all addresses. */
  public void start() throws InterruptedException {
    control.start();
    callers.listen(settings.callers());
    directory.listen(settings.directory());
    readiness.listen(settings.readiness());
    metrics.listen(settings.metrics());
    peerServer.listen(settings.peers());
  }

  /**
   * Stops accepting connections and waits, within the grace period, until the requests in progress
   * have ended and callers have received their responses. Requests that remain at its end get a
   * response. Returns in time even if the event loop does not respond.
   */
  public void stop() {
    long deadlineNanos = System.nanoTime() + settings.bounds().grace().minus(EXIT_MARGIN).toNanos();
    log.atInfo().log("daemon stops");
    CountDownLatch finished = new CountDownLatch(1);
    loop.execute(() -> beginShutdown(deadlineNanos, finished));
    long maxWaitNanos = deadlineNanos + STOP_SLACK.toNanos() - System.nanoTime();
    try {
      if (!finished.await(maxWaitNanos, TimeUnit.NANOSECONDS)) {
        log.atWarn().log("daemon stops without its event loop, which is busy");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.atInfo()
        .addKeyValue("open_requests", callers.requestsInProgress())
        .addKeyValue("open_connections", callers.connectionCount())
        .log("daemon stopped");
  }

  /** Returns the event loop, for tests. */
  EventLoop eventLoop() {
    return loop;
  }

  private void beginShutdown(long deadlineNanos, CountDownLatch finished) {
    daemonState = DaemonState.LEAVING;
    long lastResponsesNanos = deadlineNanos - LAST_RESPONSES_MARGIN.minus(EXIT_MARGIN).toNanos();
    long graceMillis = TimeUnit.NANOSECONDS.toMillis(lastResponsesNanos - System.nanoTime());
    long acceptMillis = (long) (ACCEPTANCE_RATIO * settings.bounds().grace().toMillis());
    state.shutdown().begin(Math.max(acceptMillis, LISTEN_AFTER_STOP.toMillis()), graceMillis);
    control.leave();
    callers.closeConnectionsAfterResponse();
    peerServer.closeConnectionsAfterResponse();
    loop.schedule(this::endCalls, Math.max(0, graceMillis), TimeUnit.MILLISECONDS);
    loop.schedule(
        () -> {
          callers.drain();
          awaitDelivery(deadlineNanos, finished);
        },
        LISTEN_AFTER_STOP.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void endCalls() {
    if (callers.requestsInProgress() > 0) {
      log.atWarn()
          .addKeyValue("open_requests", callers.requestsInProgress())
          .log("grace period ends; requests in progress are ended");
    }
    state.shutdown().endCalls();
  }

  /** Waits until all requests have ended and callers have received their responses. */
  private void awaitDelivery(long deadlineNanos, CountDownLatch finished) {
    if (callers.requestsInProgress() == 0
        && state.shutdown().isIdle()
        && callers.unacknowledgedResponses() == 0
        && peerServer.unacknowledgedResponses() == 0) {
      finished.countDown();
      return;
    }
    if (System.nanoTime() >= deadlineNanos) {
      log.atWarn()
          .addKeyValue("open_requests", callers.requestsInProgress())
          .addKeyValue("unacknowledged", callers.unacknowledgedResponses())
          .log("stop ends before callers have received their responses");
      state.shutdown().cutStreams();
      finished.countDown();
      return;
    }
    loop.schedule(
        () -> awaitDelivery(deadlineNanos, finished),
        IDLE_POLL_INTERVAL.toMillis(),
        TimeUnit.MILLISECONDS);
  }
}
