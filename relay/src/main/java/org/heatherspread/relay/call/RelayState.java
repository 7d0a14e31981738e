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
import org.heatherspread.core.poison.PoisonPolicy;
import org.heatherspread.core.retry.WindowedRetryBudget;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.ClientLimits;
import org.heatherspread.core.serving.EngineConfig;
import org.heatherspread.core.serving.ServiceConfig;
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
  private static final int POISON_CRASHES = 3;

  private static final Duration POISON_MEMORY = Duration.ofMinutes(10);
  private static final int POISON_CAPACITY = 1_000;

  /**
   * Time from an endpoint's notice to the moves: many streams end by themselves, and enough time is
   * left before the endpoint is gone.
   */
  private static final long EVACUATION_DELAY_MILLIS = 900;

  /** Part of an endpoint's memory that is counted on to keep prompts. */
  private static final double CACHE_SHARE = 0.7;

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final RelaySettings settings;
  private final StoreFreshness contact;
  private final UnixTimeEstimator time;
  private final ConnectionPool pool;
  private final CallMetrics metrics;
  private final EndpointTable endpoints;
  private final EngineChooser engineChooser = EngineChooser.create(EnginePerformance.defaults());
  private final PlainServiceChooser plainChooser = PlainServiceChooser.create();
  private final AccountGate accounts;
  private final UsageWindows usage;
  private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();
  private final Map<String, Double> work = new HashMap<>();
  private final StreamMigrator moves;
  private final Map<String, Set<Movable>> movables = new HashMap<>();
  private final CrashGuard crashes;
  private final AnswerLengthEstimator lengths = AnswerLengthEstimator.create();
  private ServingConfig config;
  private int daemons = 1;

  /**
   * Creates the state of a daemon that knows nothing yet.
   *
   * @param moves null where runs cannot be moved
   * @param accounts the limits of client accounts
   */
  public RelayState(
      EventLoop loop,
      MonotonicClock clock,
      RandomGenerator random,
      RelaySettings settings,
      StoreFreshness contact,
      UnixTimeEstimator time,
      ConnectionPool pool,
      CallMetrics metrics,
      UsageWindows usage,
      HealthPolicy health,
      StreamMigrator moves,
      AccountGate accounts) {
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.settings = settings;
    this.contact = contact;
    this.time = time;
    this.pool = pool;
    this.metrics = metrics;
    this.usage = usage;
    this.moves = moves;
    this.crashes =
        CrashGuard.create(
            new PoisonPolicy(POISON_CRASHES, POISON_MEMORY, POISON_CAPACITY),
            () -> Instant.ofEpochMilli(clock.millis()));
    this.accounts = accounts;
    this.endpoints = EndpointTable.create(health, this::cacheTokens);
  }

  private Optional<ServiceConfig> service(String name) {
    return config().flatMap(known -> known.service(name));
  }

  private Optional<EngineConfig> engine(String service) {
    return service(service).flatMap(ServiceConfig::engine);
  }

  private long cacheTokens(String service) {
    return engine(service)
        .map(EngineConfig::cacheTokens)
        .map(tokens -> (long) (CACHE_SHARE * tokens))
        .orElse(DEFAULT_CACHE_TOKENS);
  }

  /** Takes in a configuration if it is newer; false if it is not. */
  public boolean offer(ServingConfig next) {
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
  public ClientLimits limits() {
    return config == null ? ClientLimits.defaults() : config.limits();
  }

  /** Tells whether keys may be trusted: the configuration was read recently enough. */
  public boolean trustsKeys() {
    return contact.ageMillis() <= settings.keyTrustMillis();
  }

  /** Returns the way to choose an endpoint of a service. */
  public EndpointChooser chooser(String service) {
    boolean engine = engine(service).isPresent();
    return engine ? engineChooser : plainChooser;
  }

  /** Returns most connections that this daemon opens to one endpoint of a service. */
  public int connectionLimit(String service) {
    int limit = service(service).map(ServiceConfig::connectionLimit).orElse(0);
    return limit <= 0 ? Integer.MAX_VALUE : Math.max(2, limit / (daemons + 1));
  }

  /** Returns this daemon's part in a service's retry budget. */
  public WindowedRetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name -> {
          WindowedRetryBudget budget =
              WindowedRetryBudget.create(
                  clock, settings.retryRatio(), settings.retryWindowMillis());
          budget.setFixedRetries(settings.retryExtra() / (daemons + 1));
          return budget;
        });
  }

  /** Returns how many daemons share limits and budgets. */
  public int daemonCount() {
    return daemons;
  }

  /** Returns how old the configuration may be by which keys are accepted. */
  public long keyTrustMillis() {
    return settings.keyTrustMillis();
  }

  /** Sets how many daemons share limits and budgets. */
  public void daemons(int count) {
    daemons = Math.max(1, count);
    budgets
        .values()
        .forEach(budget -> budget.setFixedRetries(settings.retryExtra() / (daemons + 1)));
  }

  /** Counts work of a model service, in milliseconds of one endpoint. */
  public void addWork(String service, double millis) {
    work.merge(service, millis, Double::sum);
  }

  /** A stream that can go on at another endpoint with its memory. */
  interface Movable {
    /** Moves the stream if it still runs. */
    void move();
  }

  /** Returns how runs of a service are moved; empty where they cannot be. */
  Optional<StreamMigrator> moves(String service) {
    boolean can = engine(service).map(EngineConfig::supportsMigration).orElse(false);
    return can ? Optional.ofNullable(moves) : Optional.empty();
  }

  /** Notes a stream that runs at an endpoint. */
  void streaming(String endpoint, Movable stream) {
    movables.computeIfAbsent(endpoint, id -> new HashSet<>()).add(stream);
  }

  /** Notes that a stream no longer runs at an endpoint. */
  void streamed(String endpoint, Movable stream) {
    Set<Movable> streams = movables.get(endpoint);
    if (streams != null && streams.remove(stream) && streams.isEmpty()) {
      movables.remove(endpoint);
    }
  }

  /** Moves the streams that still run at an endpoint some time after it began to leave. */
  public void evacuate(String endpoint) {
    loop.schedule(() -> moveAll(endpoint), EVACUATION_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void moveAll(String endpoint) {
    for (Movable stream : List.copyOf(movables.getOrDefault(endpoint, Set.of()))) {
      stream.move();
    }
  }

  /** Returns which requests crashed endpoints. */
  public CrashGuard crashes() {
    return crashes;
  }

  /** Returns how long answers get. */
  public AnswerLengthEstimator lengths() {
    return lengths;
  }

  /** Returns the tokens that one event of a service's streams holds. */
  public int eventTokens(String service) {
    return engine(service).map(EngineConfig::tokensPerEvent).orElse(1);
  }

  /** Returns the work of each model service since the start. */
  public Map<String, Double> work() {
    return Map.copyOf(work);
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
  public StoreFreshness contact() {
    return contact;
  }

  /** Returns the estimate of the Unix time. */
  public UnixTimeEstimator time() {
    return time;
  }

  /** Returns the connections to endpoints. */
  public ConnectionPool pool() {
    return pool;
  }

  /** Returns the endpoints. */
  public EndpointTable endpoints() {
    return endpoints;
  }

  /** Returns the limits of client accounts. */
  public AccountGate accounts() {
    return accounts;
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
