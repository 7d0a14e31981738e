package org.heatherspread.relay.call;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.heatherspread.core.engine.StreamMigrator;
import org.heatherspread.core.freshness.StoreFreshness;
import org.heatherspread.core.freshness.UnixTimeEstimator;
import org.heatherspread.core.placement.AnswerLengthEstimator;
import org.heatherspread.core.placement.EndpointChooser;
import org.heatherspread.core.placement.EndpointTable;
import org.heatherspread.core.placement.EngineChooser;
import org.heatherspread.core.placement.EnginePerformance;
import org.heatherspread.core.placement.PlainServiceChooser;
import org.heatherspread.core.poison.PoisonLimits;
import org.heatherspread.core.retry.WindowedRetryBudget;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.ClientLimits;
import org.heatherspread.core.serving.EngineRule;
import org.heatherspread.core.serving.ServiceRule;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.core.usage.UsageWindows;
import org.heatherspread.relay.endpoint.ConnectionPool;

/**
 * What the relay decides by, kept up by the control work on the same event loop. Confined to that
 * loop. Invariant: the configuration's version only grows.
 */
public final class RelayState {
  private static final long DEFAULT_CACHE_TOKENS = 100_000;

  /** Crashes after which a request is refused; fewer could be chance when many endpoints fail. */
  private static final int POISON_CRASH_THRESHOLD = 3;

  private static final Duration POISON_RETENTION = Duration.ofMinutes(10);
  private static final int POISON_MAX_ENTRIES = 1_000;

  /**
   * Time from an endpoint's notice to the moves: many streams end by themselves, and enough time is
   * left before the endpoint is gone.
   */
  private static final long MIGRATION_DELAY_MILLIS = 900;

  /** Part of an endpoint's memory that is counted on to keep prompts. */
  private static final double USABLE_CACHE_SHARE = 0.7;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final RelaySettings settings;
  private final StoreFreshness storeFreshness;
  private final UnixTimeEstimator unixTime;
  private final ConnectionPool connectionPool;
  private final CallMetrics metrics;
  private final EndpointTable endpoints;
  private final EngineChooser engineChooser = EngineChooser.create(EnginePerformance.defaults());
  private final PlainServiceChooser plainChooser = PlainServiceChooser.create();
  private final AccountAdmission accountAdmission;
  private final UsageWindows usage;
  private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, Double> workMillisByService = new HashMap<>();
  private final StreamMigrator migrator;
  private final Map<String, Set<MigratableStream>> streamsByEndpoint = new HashMap<>();
  private final PoisonRequestFilter poisonFilter;
  private final AnswerLengthEstimator answerLengths = AnswerLengthEstimator.create();
  private ServingConfig config;
  private int daemonCount = 1;

  /**
   * Creates the state of a daemon that knows nothing yet.
   *
   * @param migrator null where runs cannot be moved
   * @param accountAdmission the limits of client accounts
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
      AccountAdmission accountAdmission) {
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
    this.poisonFilter =
        PoisonRequestFilter.create(
            new PoisonLimits(POISON_CRASH_THRESHOLD, POISON_RETENTION, POISON_MAX_ENTRIES),
            () -> Instant.ofEpochMilli(clock.millis()));
    this.accountAdmission = accountAdmission;
    this.endpoints = EndpointTable.create(health, this::cacheTokens);
  }

  private Optional<ServiceRule> service(String name) {
    return config().flatMap(current -> current.service(name));
  }

  private Optional<EngineRule> engine(String service) {
    return service(service).flatMap(ServiceRule::engine);
  }

  private long cacheTokens(String service) {
    return engine(service)
        .map(EngineRule::cacheTokens)
        .map(tokens -> (long) (USABLE_CACHE_SHARE * tokens))
        .orElse(DEFAULT_CACHE_TOKENS);
  }

  /** Takes in a configuration if it is newer; false if it is not. */
  public boolean updateConfig(ServingConfig next) {
    if (config != null && next.version() <= config.version()) {
      return false;
    }
    config = next;
    return true;
  }

  /** Returns the configuration in force here. */
  public Optional<ServingConfig> config() {
    return Optional.ofNullable(config);
  }

  /** Returns the limits on what callers send. */
  public ClientLimits clientLimits() {
    return config == null ? ClientLimits.defaults() : config.limits();
  }

  /** Tells whether keys may be trusted: the configuration was read recently enough. */
  public boolean acceptsKeys() {
    return storeFreshness.ageMillis() <= settings.keyTrustMillis();
  }

  /** Returns the way to choose an endpoint of a service. */
  public EndpointChooser chooser(String service) {
    boolean engine = engine(service).isPresent();
    return engine ? engineChooser : plainChooser;
  }

  /** Returns most connections that this daemon opens to one endpoint of a service. */
  public int connectionLimit(String service) {
    int limit = service(service).map(ServiceRule::connectionLimit).orElse(0);
    return limit <= 0 ? Integer.MAX_VALUE : Math.max(2, limit / (daemonCount + 1));
  }

  /** Returns this daemon's part in a service's retry budget. */
  public WindowedRetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name -> {
          WindowedRetryBudget budget =
              WindowedRetryBudget.create(
                  clock, settings.retryRatio(), settings.retryWindowMillis());
          budget.extra(settings.fixedRetries() / (daemonCount + 1));
          return budget;
        });
  }

  /** Returns how many daemons share limits and budgets. */
  public int daemonCount() {
    return daemonCount;
  }

  /** Returns how old the configuration may be by which keys are accepted. */
  public long keyTrustMillis() {
    return settings.keyTrustMillis();
  }

  /** Sets how many daemons share limits and budgets. */
  public void setDaemonCount(int count) {
    daemonCount = Math.max(1, count);
    retryBudgets
        .values()
        .forEach(budget -> budget.extra(settings.fixedRetries() / (daemonCount + 1)));
  }

  /** Counts work of a model service, in milliseconds of one endpoint. */
  public void addWork(String service, double millis) {
    workMillisByService.merge(service, millis, Double::sum);
  }

  /** A stream that can go on at another endpoint with its memory. */
  interface MigratableStream {
    /** Moves the stream if it still runs. */
    void migrate();
  }

  /** Returns how runs of a service are moved; empty where they cannot be. */
  Optional<StreamMigrator> migrator(String service) {
    boolean supported = engine(service).map(EngineRule::movesRuns).orElse(false);
    return supported ? Optional.ofNullable(migrator) : Optional.empty();
  }

  /** Notes a stream that runs at an endpoint. */
  void registerStream(String endpoint, MigratableStream stream) {
    streamsByEndpoint.computeIfAbsent(endpoint, id -> new HashSet<>()).add(stream);
  }

  /** Notes that a stream no longer runs at an endpoint. */
  void unregisterStream(String endpoint, MigratableStream stream) {
    Set<MigratableStream> streams = streamsByEndpoint.get(endpoint);
    if (streams != null && streams.remove(stream) && streams.isEmpty()) {
      streamsByEndpoint.remove(endpoint);
    }
  }

  /** Moves the streams that still run at an endpoint some time after it began to leave. */
  public void scheduleMigration(String endpoint) {
    loop.schedule(() -> migrateStreams(endpoint), MIGRATION_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void migrateStreams(String endpoint) {
    for (MigratableStream stream :
        List.copyOf(streamsByEndpoint.getOrDefault(endpoint, Set.of()))) {
      stream.migrate();
    }
  }

  /** Returns which requests crashed endpoints. */
  public PoisonRequestFilter poisonFilter() {
    return poisonFilter;
  }

  /** Returns how long answers get. */
  public AnswerLengthEstimator answerLengths() {
    return answerLengths;
  }

  /** Returns the tokens that one event of a service's streams holds. */
  public int tokensPerEvent(String service) {
    return engine(service).map(EngineRule::eventTokens).orElse(1);
  }

  /** Returns the work of each model service since the start. */
  public Map<String, Double> workMillisByService() {
    return Map.copyOf(workMillisByService);
  }

  /** Returns the event loop that all of this is confined to. */
  public EventLoop loop() {
    return loop;
  }

  /** Returns the monotonic clock. */
  public MonotonicClock clock() {
    return clock;
  }

  /** Returns the source of random choices. */
  public RandomGenerator random() {
    return random;
  }

  /** Returns how fresh the knowledge of the configuration is; fed by reads of it only. */
  public StoreFreshness storeFreshness() {
    return storeFreshness;
  }

  /** Returns the estimate of the Unix time. */
  public UnixTimeEstimator unixTime() {
    return unixTime;
  }

  /** Returns the connections to endpoints. */
  public ConnectionPool connectionPool() {
    return connectionPool;
  }

  /** Returns the endpoints. */
  public EndpointTable endpoints() {
    return endpoints;
  }

  /** Returns the limits of client accounts. */
  public AccountAdmission accountAdmission() {
    return accountAdmission;
  }

  /** Returns the counts of requests that began to run. */
  public UsageWindows usage() {
    return usage;
  }

  /** Returns the counters. */
  public CallMetrics metrics() {
    return metrics;
  }
}
