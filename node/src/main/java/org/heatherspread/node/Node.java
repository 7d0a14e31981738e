package org.heatherspread.node;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.fleet.DaemonReport;
import org.heatherspread.core.fleet.DaemonState;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.freshness.UnixTimeEstimator;
import org.heatherspread.core.limit.OvershootAllowance;
import org.heatherspread.core.limit.PartitionedLimiter;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.ClientLimits;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.core.usage.UsageWindows;
import org.heatherspread.node.control.ControlPlane;
import org.heatherspread.node.peer.PeerClient;
import org.heatherspread.node.serve.DirectoryHandler;
import org.heatherspread.node.serve.ProbeHandler;
import org.heatherspread.node.settings.NodeSettings;
import org.heatherspread.platform.DirectoryFormat;
import org.heatherspread.platform.PlatformCloud;
import org.heatherspread.platform.PlatformEngines;
import org.heatherspread.platform.PlatformHeaders;
import org.heatherspread.platform.PlatformStore;
import org.heatherspread.relay.call.AccountGate;
import org.heatherspread.relay.call.CallMetrics;
import org.heatherspread.relay.call.Relay;
import org.heatherspread.relay.call.RelaySettings;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.caller.CallerServer;
import org.heatherspread.relay.endpoint.ConnectionPool;
import org.heatherspread.relay.endpoint.PoolSettings;
import org.heatherspread.relay.rpc.RpcClient;
import org.heatherspread.relay.rpc.RpcMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One daemon: relay, directory, readiness, metrics and control work on one event loop.
 *
 * <p>Invariants: callers are taken only while a configuration and the endpoints are known; a stop
 * cuts no request that can end within the grace. {@link #start} and {@link #stop} may be called
 * from any thread.
 */
public final class Node {
  private static final Logger log = LoggerFactory.getLogger(Node.class);

  /** Part of the revocation bound for which a configuration is trusted with keys. */
  private static final double KEY_TRUST = 0.8;

  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final long MAX_IDLE_MILLIS = 15_000;
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(900);
  private static final Duration MOVE_TIMEOUT = Duration.ofMillis(900);
  private static final Duration CLOUD_TIMEOUT = Duration.ofMillis(1_000);

  /** How long callers may keep an answer of the directory. */
  private static final Duration DIRECTORY_TTL = Duration.ofSeconds(2);

  /** Time after SIGTERM for which new connections are still accepted. */
  private static final Duration ACCEPT_ON = Duration.ofMillis(1_200);

  /** Time before the end of the grace at which the process ends in any case. */
  private static final Duration END_MARGIN = Duration.ofMillis(1_200);

  /** Age of the newest read of the store above which this daemon does not tell its own address. */
  private static final long DIRECTORY_TRUST_MILLIS = 3_200;

  private static final Duration STOP_POLL = Duration.ofMillis(50);
  private static final int KEPT_WINDOWS = 6;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final NodeSettings settings;
  private final EventLoop loop;
  private final RelayState state;
  private final PrometheusMeterRegistry registry;
  private final ControlPlane control;
  private final CallerServer callers;
  private final CallerServer directory;
  private final CallerServer readiness;
  private final CallerServer metrics;
  private final PeerClient peers;
  private final CallerServer peerServer;
  private DaemonState daemonState = DaemonState.STARTING;
  private long sequence;

  private Node(NodeSettings settings) {
    this.settings = settings;
    this.loop = new NioEventLoopGroup(1).next();
    this.registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    RpcMetrics rpcs = RpcMetrics.create(registry);
    MonotonicClock clock = MonotonicClock.system();
    InstantSource wall = Clock.systemUTC();
    NodeSettings.Bounds bounds = settings.bounds();
    StoreFreshness contact = StoreFreshness.create(clock, wall);
    PoolSettings pool = new PoolSettings(CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
    this.peers = PeerClient.create(address -> RpcClient.create(loop, clock, address, rpcs));
    this.state =
        new RelayState(
            loop,
            clock,
            new SplittableRandom(new SecureRandom().nextLong()),
            relaySettings(bounds),
            contact,
            UnixTimeEstimator.create(contact),
            ConnectionPool.create(loop, clock, pool, PlatformHeaders.relay().requestId()),
            CallMetrics.create(registry),
            UsageWindows.create(bounds.usageWindow().toMillis(), KEPT_WINDOWS),
            healthPolicy(),
            PlatformEngines.create(
                address -> RpcClient.create(loop, clock, address, rpcs), MOVE_TIMEOUT),
            AccountGate.create(
                PartitionedLimiter.create(settings.name(), clock, limitSlack(bounds)), peers));
    PlatformStore store =
        PlatformStore.create(RpcClient.create(loop, clock, settings.store(), rpcs), STORE_TIMEOUT);
    PlatformCloud cloud =
        settings.cloud().isEmpty()
            ? null
            : PlatformCloud.create(
                RpcClient.create(loop, clock, HostPort.parse(settings.cloud()), rpcs),
                CLOUD_TIMEOUT);
    this.control = ControlPlane.create(settings, state, store, store, cloud, peers, this::report);
    Relay relay = Relay.create(state, PlatformHeaders.relay());
    this.callers = CallerServer.create(loop, clock, state::limits, relay);
    NodeMetrics.create(registry, state, control, callers);
    this.directory =
        CallerServer.create(
            loop,
            clock,
            ClientLimits::defaults,
            DirectoryHandler.create(
                DirectoryFormat.PATH,
                this::addresses,
                found -> DirectoryFormat.write(found, ttl(bounds))));
    this.peerServer =
        CallerServer.create(loop, clock, ClientLimits::defaults, control.peerHandler());
    this.readiness =
        CallerServer.create(
            loop, clock, ClientLimits::defaults, ProbeHandler.readiness(this::ready));
    this.metrics =
        CallerServer.create(
            loop, clock, ClientLimits::defaults, ProbeHandler.text(registry::scrape));
  }

  /** Creates a daemon that does nothing yet. */
  public static Node create(NodeSettings settings) {
    return new Node(settings);
  }

  private static RelaySettings relaySettings(NodeSettings.Bounds bounds) {
    return new RelaySettings(
        (long) (KEY_TRUST * bounds.revocation().toMillis()),
        bounds.retryRatio(),
        bounds.retryWindow().toMillis(),
        bounds.retryExtra());
  }

  private static OvershootAllowance limitSlack(NodeSettings.Bounds bounds) {
    return new OvershootAllowance(
        bounds.limitWindow().toMillis() / MILLIS_PER_SECOND,
        bounds.limitOvershoot(),
        bounds.limitTolerance());
  }

  private static HealthPolicy healthPolicy() {
    HealthPolicy usual = HealthPolicy.defaults();
    return new HealthPolicy(
        usual.consecutiveFailures(),
        usual.slowRatio(),
        usual.slowSamples(),
        Duration.ofMillis(500),
        Duration.ofSeconds(4),
        Duration.ofSeconds(2),
        usual.maxEjectedShare());
  }

  private static Duration ttl(NodeSettings.Bounds bounds) {
    return DIRECTORY_TTL.compareTo(bounds.directoryTtlMax()) < 0
        ? DIRECTORY_TTL
        : bounds.directoryTtlMax();
  }

  // ---------------------------------------------------------------------------------------------
  // What others are told
  // ---------------------------------------------------------------------------------------------

  private boolean ready() {
    boolean serves = state.config().isPresent() && control.isFleetInitialized();
    if (daemonState == DaemonState.STARTING && serves) {
      daemonState = DaemonState.READY;
    }
    return daemonState == DaemonState.READY && state.trustsKeys();
  }

  private Collection<String> addresses() {
    Collection<String> addresses = new TreeSet<>();
    for (DaemonReport report : control.fleet().live()) {
      boolean other = !report.daemon().equals(settings.name());
      if (other && report.state() == DaemonState.READY) {
        addresses.add(report.address());
      }
    }
    // Out of touch with the store, the others as last known are better than no answer: callers ask
    // few daemons, and all of these may be out of touch.
    if (ready() && state.contact().ageMillis() <= DIRECTORY_TRUST_MILLIS) {
      addresses.add(settings.callers().toString());
    }
    return addresses;
  }

  private DaemonReport report() {
    ready();
    sequence++;
    return new DaemonReport(
        settings.name(),
        control.incarnation(),
        settings.callers().toString(),
        settings.peers().toString(),
        settings.domain(),
        settings.linkMbps(),
        daemonState,
        sequence,
        state.contact().storeMillis(),
        state.contact().wallClockOffsetMillis(),
        state.usage().snapshot(),
        state.endpoints().ownLoads(),
        state.crashes().evidence(),
        state.work());
  }

  // ---------------------------------------------------------------------------------------------
  // Start and stop
  // ---------------------------------------------------------------------------------------------

  /** Starts to listen and to follow the store. */
  public void start() throws InterruptedException {
    Config config = ConfigFactory.load();
    control.start(config);
    callers.listen(settings.callers());
    directory.listen(settings.directory());
    readiness.listen(settings.readiness());
    metrics.listen(settings.metrics());
    peerServer.listen(settings.peers());
  }

  /** Stops in order: no new callers, requests in progress end, then all is closed. */
  public void stop() {
    long endNanos = System.nanoTime() + settings.bounds().grace().minus(END_MARGIN).toNanos();
    log.atInfo().log("daemon stops");
    CountDownLatch ended = new CountDownLatch(1);
    loop.execute(() -> leave(endNanos, ended));
    try {
      ended.await(settings.bounds().grace().toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    log.atInfo().addKeyValue("open_requests", callers.busy()).log("daemon stopped");
  }

  private void leave(long endNanos, CountDownLatch ended) {
    daemonState = DaemonState.LEAVING;
    control.leave();
    callers.discourage();
    loop.schedule(
        () -> {
          callers.drain();
          awaitIdle(endNanos, ended);
        },
        ACCEPT_ON.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  private void awaitIdle(long endNanos, CountDownLatch ended) {
    if (callers.busy() == 0 || System.nanoTime() >= endNanos) {
      ended.countDown();
      return;
    }
    loop.schedule(() -> awaitIdle(endNanos, ended), STOP_POLL.toMillis(), TimeUnit.MILLISECONDS);
  }
}
