package org.heatherspread.relay.call;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.heatherspread.core.engine.StreamMigrator;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.freshness.UnixTimeEstimator;
import org.heatherspread.core.limit.RetrySpread;
import org.heatherspread.core.placement.AnswerLengthEstimator;
import org.heatherspread.core.placement.EndpointChooser;
import org.heatherspread.core.placement.EndpointTable;
import org.heatherspread.core.placement.EngineChooser;
import org.heatherspread.core.placement.EnginePerformance;
import org.heatherspread.core.placement.EnginePerformanceEstimator;
import org.heatherspread.core.placement.EnginePerformanceEstimator.Estimate;
import org.heatherspread.core.placement.IsolationDetector;
import org.heatherspread.core.placement.LongPromptEndpoints;
import org.heatherspread.core.placement.PlainRequestTime;
import org.heatherspread.core.placement.PlainServiceChooser;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.placement.UnevenEngineChooser;
import org.heatherspread.core.placement.UnevenPlainChooser;
import org.heatherspread.core.poison.CrashPolicy;
import org.heatherspread.core.poison.EndpointIncarnation;
import org.heatherspread.core.retry.WindowedRetryBudget;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.ClientLimits;
import org.heatherspread.core.serving.EngineConfig;
import org.heatherspread.core.serving.Feature;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.ServiceConfig;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.core.usage.UsageWindows;
import org.heatherspread.relay.buffer.BufferBudget;
import org.heatherspread.relay.endpoint.ConnectionPool;
import org.heatherspread.relay.endpoint.EndpointConnection;

/**
 * Configuration, endpoints and shared components of the relay, updated by the control tasks on the
 * same event loop. Confined to that event loop. Invariant: the version of the configuration only
 * increases.
 */
public final class RelayState {
  private static final long DEFAULT_CACHE_TOKENS = 100_000;

  /**
   * Policy of refusals: one or two crashes may be coincidence, for a prompt segment that many
   * requests have also three, and what was refused wrongly is tried again after a few minutes.
   */
  private static final CrashPolicy CRASH_POLICY =
      new CrashPolicy(
          3, 4, Duration.ofMinutes(2), Duration.ofMinutes(30), Duration.ofMinutes(1), 1_000);

  /** Pause before an endpoint is probed again that did not respond to a probe. */
  private static final long PROBE_PAUSE_MILLIS = 250;

  /**
   * Delay from an endpoint's reclaim notice to the migration of its streams: many streams end by
   * themselves meanwhile, and enough time remains before the endpoint ends.
   */
  private static final long MIGRATION_DELAY_MILLIS = 900;

  /** Share of an endpoint's cache that is expected to retain prompts. */
  private static final double USABLE_CACHE_SHARE = 0.7;

  /** Time for which the report of another daemon may have been on its way. */
  private static final long MAX_REPORT_DELAY_MILLIS = 1_000;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final RelaySettings settings;
  private final StoreFreshness storeFreshness;
  private final UnixTimeEstimator unixTime;
  private final ConnectionPool connectionPool;
  private final CallMetrics metrics;
  private final EndpointTable endpoints;
  private final IsolationDetector isolation = IsolationDetector.create();
  private final Map<String, EngineModel> engineModels = new HashMap<>();
  private final Map<String, PlainModel> plainModels = new HashMap<>();
  private final PlainServiceChooser plainChooser = PlainServiceChooser.create();
  private final LimitAdmission accountAdmission;
  private final RetrySpread accountRetries;
  private final EndpointLimits endpointLimits;
  private final EndpointNotices endpointNotices;
  private final StreamOrigins streamOrigins;
  private final UsageWindows usage;
  private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, Double> workMillisByService = new HashMap<>();
  private final StreamMigrator migrator;
  private final Map<String, Set<MigratableStream>> streamsByEndpoint = new HashMap<>();
  private final PoisonRequestFilter poisonFilter;
  private final BufferBudget buffers;
  private final AnswerLengthEstimator answerLengths = AnswerLengthEstimator.create();
  private final StoppedEndpoints stoppedEndpoints;
  private final Shutdown shutdown;
  private final Forwarding forwarding;
  private final VersionRouting versionRouting;
  private final WaitingCalls waitingCalls = WaitingCalls.create(this);
  private ServingConfig config;
  private int daemonCount = 1;

  /**
   * Creates a state without a configuration and without endpoints.
   *
   * @param migrator null if streams cannot be migrated
   * @param accountAdmission admission control of client accounts
   * @param endpointLimits limits that endpoints name
   * @param endpointNotices what endpoints say of themselves besides
   * @param streamOrigins origins of streams of all daemons
   * @param buffers budget for the bytes that are held for callers and endpoints
   */
  public RelayState(
      EventLoop loop,
      MonotonicClock clock,
      RandomGenerator random,
      RelaySettings settings,
      StoreFreshness storeFreshness,
      UnixTimeEstimator unixTime,
      ConnectionPool connectionPool,
      CallMetrics metrics,
      UsageWindows usage,
      HealthPolicy health,
      StreamMigrator migrator,
      LimitAdmission accountAdmission,
      EndpointLimits endpointLimits,
      EndpointNotices endpointNotices,
      StreamOrigins streamOrigins,
      BufferBudget buffers) {
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.settings = settings;
    this.storeFreshness = storeFreshness;
    this.unixTime = unixTime;
    this.connectionPool = connectionPool;
    this.metrics = metrics;
    this.usage = usage;
    this.migrator = migrator;
    this.poisonFilter = PoisonRequestFilter.create(CRASH_POLICY, clock, this::probe);
    this.accountAdmission = accountAdmission;
    this.accountRetries = RetrySpread.create(clock, random);
    this.endpointLimits = endpointLimits;
    this.endpointNotices = endpointNotices;
    this.streamOrigins = streamOrigins;
    this.stoppedEndpoints = StoppedEndpoints.create(clock);
    this.buffers = buffers;
    this.shutdown = Shutdown.create(clock);
    this.forwarding = Forwarding.create(loop, clock, random);
    this.endpoints =
        hasFeature(Feature.UNEVEN_ENDPOINTS)
            ? EndpointTable.createUneven(health.withShortPauses(), this::cacheTokens)
            : EndpointTable.create(health, this::cacheTokens);
    this.versionRouting =
        VersionRouting.create(hasFeature(Feature.ROLLOUTS), endpoints, clock, random);
    connectionPool.onDisconnected(this::recordDisconnection);
  }

  /** Records that all connections to an address were lost. */
  private void recordDisconnection(HostPort address) {
    for (TrackedEndpoint endpoint : endpoints.all()) {
      if (endpoint.registration().address().equals(address)) {
        stoppedEndpoints.recordDisconnection(endpoint);
      }
    }
  }

  /** Connects to an endpoint until it accepts or refuses, or its loss is resolved otherwise. */
  private void probe(TrackedEndpoint endpoint) {
    if (!poisonFilter.isUnresolved(endpoint)) {
      return;
    }
    connect(
        endpoint,
        () -> poisonFilter.connectionAccepted(endpoint),
        refused -> {
          if (refused) {
            recordRefusedConnection(endpoint);
          } else {
            loop.schedule(() -> probe(endpoint), PROBE_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
          }
        });
  }

  /**
   * Tries to connect to an endpoint, to find out whether there is a path to it.
   *
   * @param onReached called if it accepts
   * @param onFailed called if it does not, also if it refuses, as a partition may do that, too
   */
  public void probePath(TrackedEndpoint endpoint, Runnable onReached, Runnable onFailed) {
    connect(endpoint, onReached, refused -> onFailed.run());
  }

  /**
   * Opens a connection to an endpoint and releases it.
   *
   * @param onFailed receives whether the endpoint refused the connection
   */
  private void connect(TrackedEndpoint endpoint, Runnable onAccepted, Consumer<Boolean> onFailed) {
    connectionPool.open(
        endpoint.registration().address(),
        new ConnectionPool.ConnectionListener() {
          @Override
          public void onConnected(EndpointConnection connection) {
            onAccepted.run();
            connection.releaseUnused();
          }

          @Override
          public void onConnectFailed(String reason, boolean refused) {
            onFailed.accept(refused);
          }
        });
  }

  private Optional<ServiceConfig> service(String name) {
    return config().flatMap(current -> current.service(name));
  }

  private Optional<EngineConfig> engine(String service) {
    return service(service).flatMap(ServiceConfig::engine);
  }

  private long cacheTokens(String service) {
    return engine(service)
        .map(EngineConfig::cacheTokens)
        .map(tokens -> (long) (USABLE_CACHE_SHARE * tokens))
        .orElse(DEFAULT_CACHE_TOKENS);
  }

  /** Applies a configuration if it is newer, and returns whether it is. */
  public boolean updateConfig(ServingConfig next) {
    if (config != null && next.version() <= config.version()) {
      return false;
    }
    config = next;
    return true;
  }

  /** Returns the current configuration, empty if none was received yet. */
  public Optional<ServingConfig> config() {
    return Optional.ofNullable(config);
  }

  /** Returns the shortest target of the routes to a service that are more urgent. */
  OptionalInt shortestUrgentTargetMillis(String service, int urgency) {
    return config == null
        ? OptionalInt.empty()
        : config.shortestUrgentTargetMillis(service, urgency);
  }

  /** Returns whether the deployment asks for a feature. */
  public boolean hasFeature(Feature feature) {
    return settings.features().contains(feature);
  }

  /** Returns the limits on requests of callers. */
  public ClientLimits clientLimits() {
    return config == null ? ClientLimits.defaults() : config.limits();
  }

  /** Returns whether the configuration was read recently enough to validate keys. */
  public boolean acceptsKeys() {
    return storeFreshness.ageMillis() <= settings.keyTrustMillis();
  }

  /** Returns the selector of endpoints of a service. */
  public EndpointChooser chooser(String service) {
    if (engine(service).isPresent()) {
      return engineModel(service).chooser;
    }
    return hasFeature(Feature.UNEVEN_ENDPOINTS) ? plainModel(service).chooser : plainChooser;
  }

  private PlainModel plainModel(String service) {
    return plainModels.computeIfAbsent(service, name -> PlainModel.create());
  }

  /** Returns the measured time of the requests of a plain service. */
  public PlainRequestTime plainRequestTime(String service) {
    return plainModel(service).time;
  }

  /** Records the response to a request that found a free slot at an endpoint. */
  void recordPlainResponse(String service, long observedMillis) {
    if (engine(service).isEmpty()) {
      plainModel(service).time.record(observedMillis);
    }
  }

  /** The measured time of a plain service's requests, and the chooser that uses it. */
  private record PlainModel(PlainRequestTime time, UnevenPlainChooser chooser) {
    private static PlainModel create() {
      PlainRequestTime time = PlainRequestTime.create();
      return new PlainModel(time, UnevenPlainChooser.create(time));
    }
  }

  private EngineModel engineModel(String service) {
    return engineModels.computeIfAbsent(
        service,
        name ->
            EngineModel.create(
                hasFeature(Feature.UNEVEN_ENDPOINTS), () -> engineMemoryTokens(name)));
  }

  private long engineMemoryTokens(String service) {
    return engine(service).map(EngineConfig::cacheTokens).orElse(0L);
  }

  /** Returns the number of engines whose requests are expected to exceed their memory. */
  public long fullEngines() {
    long now = clock.millis();
    long full = 0;
    for (Map.Entry<String, EngineModel> model : engineModels.entrySet()) {
      long capacity = engineMemoryTokens(model.getKey());
      double holdMillis = model.getValue().estimator.performance().slotHoldMillis();
      for (TrackedEndpoint endpoint : endpoints.forService(model.getKey())) {
        full += capacity > 0 && endpoint.expectedHeldTokens(now, holdMillis) > capacity ? 1 : 0;
      }
    }
    return full;
  }

  /** Returns the estimator of the performance of a service's engines. */
  public EnginePerformanceEstimator enginePerformance(String service) {
    return engineModel(service).estimator;
  }

  /** Returns the estimated performance of the engines of each model service in use. */
  public Map<String, Estimate> engineEstimates() {
    Map<String, Estimate> estimates = new HashMap<>();
    engineModels.forEach((service, model) -> estimates.put(service, model.estimator.estimate()));
    return estimates;
  }

  /** Adopts the estimates of a daemon that are based on more observations than this daemon's. */
  public void adoptEngineEstimates(Map<String, Estimate> estimates) {
    estimates.forEach((service, estimate) -> enginePerformance(service).adopt(estimate));
  }

  /** The estimated performance of a service's engines, and the chooser that uses it. */
  private record EngineModel(
      EnginePerformanceEstimator estimator,
      EndpointChooser chooser,
      LongPromptEndpoints longPrompts) {
    private static EngineModel create(boolean uneven, LongSupplier cacheTokens) {
      EnginePerformanceEstimator estimator =
          EnginePerformanceEstimator.create(EnginePerformance.defaults());
      if (!uneven) {
        EngineChooser chooser = EngineChooser.create(estimator::performance);
        return new EngineModel(estimator, chooser, LongPromptEndpoints.create());
      }
      UnevenEngineChooser chooser = UnevenEngineChooser.create(estimator::performance, cacheTokens);
      return new EngineModel(estimator, chooser, chooser.longPrompts());
    }
  }

  /** Returns the number of endpoints that long prompts prefer, of all services. */
  public int longPromptEndpoints() {
    return engineModels.values().stream().mapToInt(model -> model.longPrompts.count()).sum();
  }

  /** Returns the maximum number of connections of this daemon to one endpoint of a service. */
  public int connectionLimit(String service) {
    int limit = service(service).map(ServiceConfig::connectionLimit).orElse(0);
    return limit <= 0 ? Integer.MAX_VALUE : Math.max(2, limit / (daemonCount + 1));
  }

  /** Returns this daemon's share of the retry budget of a service. */
  public WindowedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name -> {
          WindowedRetryBudget budget =
              WindowedRetryBudget.create(
                  clock, settings.retryRatio(), settings.retryWindowMillis());
          budget.setFixedRetries(settings.fixedRetries() / (daemonCount + 1));
          return budget;
        });
  }

  /** Returns the number of daemons that share limits and budgets, at least 1. */
  public int daemonCount() {
    return daemonCount;
  }

  /** Returns the maximum age of the configuration with which keys are accepted. */
  public long keyTrustMillis() {
    return settings.keyTrustMillis();
  }

  /** Sets the number of daemons that share limits and budgets. */
  public void setDaemonCount(int count) {
    daemonCount = Math.max(1, count);
    retryBudgets
        .values()
        .forEach(budget -> budget.setFixedRetries(settings.fixedRetries() / (daemonCount + 1)));
  }

  /** Adds work of a model service, in milliseconds of one endpoint. */
  public void addWork(String service, double millis) {
    workMillisByService.merge(service, millis, Double::sum);
  }

  /** A stream that can be migrated to another endpoint together with its KV cache. */
  interface MigratableStream {
    /** Migrates the stream if it is still running. */
    void migrate();
  }

  /** Returns the migrator of streams of a service, empty if they cannot be migrated. */
  Optional<StreamMigrator> migrator(String service) {
    boolean supported = engine(service).map(EngineConfig::supportsMigration).orElse(false);
    return supported ? Optional.ofNullable(migrator) : Optional.empty();
  }

  /** Registers a stream that runs at an endpoint. */
  void registerStream(String endpointId, MigratableStream stream) {
    streamsByEndpoint.computeIfAbsent(endpointId, id -> new HashSet<>()).add(stream);
  }

  /** Removes a stream that no longer runs at an endpoint. */
  void unregisterStream(String endpointId, MigratableStream stream) {
    Set<MigratableStream> streams = streamsByEndpoint.get(endpointId);
    if (streams != null && streams.remove(stream) && streams.isEmpty()) {
      streamsByEndpoint.remove(endpointId);
    }
  }

  /** Schedules the migration of the streams that still run at a leaving endpoint by then. */
  public void scheduleMigration(String endpointId) {
    loop.schedule(() -> migrateStreams(endpointId), MIGRATION_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void migrateStreams(String endpointId) {
    for (MigratableStream stream :
        List.copyOf(streamsByEndpoint.getOrDefault(endpointId, Set.of()))) {
      stream.migrate();
    }
  }

  /** Returns the filter of requests that crash endpoints. */
  public PoisonRequestFilter poisonFilter() {
    return poisonFilter;
  }

  /** Returns what a stop of this daemon lets pass. */
  public Shutdown shutdown() {
    return shutdown;
  }

  /** Returns the daemons that serve requests which this one cannot. */
  public Forwarding forwarding() {
    return forwarding;
  }

  /** Returns the selector of versions. */
  public VersionRouting versionRouting() {
    return versionRouting;
  }

  /** Returns the calls that wait while endpoints have no room. */
  WaitingCalls waitingCalls() {
    return waitingCalls;
  }

  /** Returns the budget for the bytes that are held for callers and endpoints. */
  public BufferBudget buffers() {
    return buffers;
  }

  /** Returns the estimator of answer lengths. */
  public AnswerLengthEstimator answerLengths() {
    return answerLengths;
  }

  /** Returns the number of tokens in one event of a service's streams. */
  public int tokensPerEvent(String service) {
    return engine(service).map(EngineConfig::tokensPerEvent).orElse(1);
  }

  /** Returns the work of each model service since the start, in milliseconds of one endpoint. */
  public Map<String, Double> workMillisByService() {
    return Map.copyOf(workMillisByService);
  }

  /** Returns the event loop that the relay is confined to. */
  public EventLoop loop() {
    return loop;
  }

  /** Returns the monotonic clock. */
  public MonotonicClock clock() {
    return clock;
  }

  /** Returns the random generator. */
  public RandomGenerator random() {
    return random;
  }

  /** Returns the freshness of the configuration, which only reads of it update. */
  public StoreFreshness storeFreshness() {
    return storeFreshness;
  }

  /** Returns the estimator of the Unix time. */
  public UnixTimeEstimator unixTime() {
    return unixTime;
  }

  /** Returns the pool of connections to endpoints. */
  public ConnectionPool connectionPool() {
    return connectionPool;
  }

  /** Returns the table of endpoints. */
  public EndpointTable endpoints() {
    return endpoints;
  }

  /** Returns the admission control of client accounts. */
  public LimitAdmission accountAdmission() {
    return accountAdmission;
  }

  /** Returns the detector of the loss of all paths to endpoints. */
  public IsolationDetector isolation() {
    return isolation;
  }

  /** Returns the times at which callers return that limits of client accounts refused. */
  public RetrySpread accountRetries() {
    return accountRetries;
  }

  /** Returns the limits that endpoints name. */
  public EndpointLimits endpointLimits() {
    return endpointLimits;
  }

  /** Returns what endpoints say of themselves. */
  public EndpointNotices endpointNotices() {
    return endpointNotices;
  }

  /** Records the head of a response that belongs to a request to the endpoint. */
  void recordEndpointResponse(TrackedEndpoint endpoint, int status, HttpHeaders headers) {
    boolean usable = endpoint.isUsable(clock.millis());
    endpointNotices.recordResponse(endpoint, status, headers);
    if (usable && !endpoint.isUsable(clock.millis())) {
      scheduleMigration(endpoint.id());
    }
  }

  /** Records that another daemon learned that an endpoint leaves. */
  public void mergeLeaving(EndpointIncarnation left, String daemon) {
    Optional<TrackedEndpoint> endpoint = endpoints.get(left.id());
    if (endpoint.isPresent() && endpointNotices.mergeLeaving(endpoint.get(), left, daemon)) {
      scheduleMigration(left.id());
    }
  }

  /**
   * Records that an endpoint refused a connection. If one that was opened before lives on, the
   * refusal came from the network or from a full endpoint, and the incarnation has not ended.
   */
  void recordRefusedConnection(TrackedEndpoint endpoint) {
    if (isConnectedSince(endpoint, clock.millis())) {
      poisonFilter.endpointCrashed(endpoint);
      return;
    }
    recordStopped(endpoint);
  }

  private boolean isConnectedSince(TrackedEndpoint endpoint, long millis) {
    return connectionPool.hasConnectionOpenSince(endpoint.registration().address(), millis);
  }

  /** Records that the incarnation of an endpoint has ended. */
  void recordStopped(TrackedEndpoint endpoint) {
    poisonFilter.endpointCrashed(endpoint);
    stoppedEndpoints.recordStopped(endpoint);
  }

  /**
   * Records that another daemon found that an incarnation has ended, unless a connection of this
   * daemon proves that it has not, as if only the other one cannot reach it.
   */
  public void mergeStopped(EndpointIncarnation stopped, String daemon, long ageMillis) {
    endpoints
        .get(stopped.id())
        .filter(
            endpoint ->
                !isConnectedSince(endpoint, clock.millis() - ageMillis - MAX_REPORT_DELAY_MILLIS))
        .ifPresent(endpoint -> stoppedEndpoints.merge(endpoint, stopped, daemon, ageMillis));
  }

  /** Records whether the registrations of the endpoints can be read. */
  public void recordRegistrationsReadable(boolean readable) {
    long sinceMillis = clock.millis() - MAX_REPORT_DELAY_MILLIS;
    stoppedEndpoints.recordRegistrationsReadable(
        readable,
        () ->
            endpoints.all().stream()
                .filter(
                    endpoint ->
                        endpoint.isDisconnected() || !isConnectedSince(endpoint, sinceMillis))
                .iterator());
  }

  /** Records that another daemon cannot tell whether an incarnation has ended. */
  public void mergeDoubt(EndpointIncarnation doubted, String daemon, long ageMillis) {
    long sinceMillis = clock.millis() - ageMillis - MAX_REPORT_DELAY_MILLIS;
    endpoints
        .get(doubted.id())
        .ifPresent(
            endpoint ->
                stoppedEndpoints.mergeDoubt(
                    endpoint, doubted, daemon, ageMillis, isConnectedSince(endpoint, sinceMillis)));
  }

  /** Returns which registered incarnations of endpoints have ended. */
  public StoppedEndpoints stoppedEndpoints() {
    return stoppedEndpoints;
  }

  /** Returns the origins of the streams of all daemons. */
  StreamOrigins streamOrigins() {
    return streamOrigins;
  }

  /** Returns the counts of started requests by account and window. */
  public UsageWindows usage() {
    return usage;
  }

  /** Returns the metrics. */
  public CallMetrics metrics() {
    return metrics;
  }
}
