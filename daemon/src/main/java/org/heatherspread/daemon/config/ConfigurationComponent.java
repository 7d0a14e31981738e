package org.heatherspread.daemon.config;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.ConfigurationLog;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.config.ReadinessPolicy;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.DaemonComponent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Provides the current configuration of this daemon and reads the configuration log to keep it up
 * to date. Life cycle: {@link #create}, {@link #start}, {@link #close}.
 *
 * <p>New entries usually arrive from other daemons within 1 or 2 seconds; reads of the log only
 * recover entries that the exchange missed. Their rate is bounded for the fleet as a whole, and
 * their delays use jitter and exponential backoff. Thread-safe.
 */
public final class ConfigurationComponent implements DaemonComponent, Supplier<Configuration> {
  private static final Logger logger = LoggerFactory.getLogger(ConfigurationComponent.class);
  private static final double FLEET_READS_PER_SECOND = 100;
  private static final long MIN_MEAN_DELAY_MILLIS = 1_000;
  private static final int MAX_BACKOFF_FACTOR = 8;

  private final ConfigurationLog log;
  private final CurrentConfiguration currentConfiguration;
  private final ReadinessPolicy readinessPolicy;
  private final Supplier<MembershipSnapshot> membership;
  private final Supplier<Duration> timeSinceLastMessage;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final Counter reads;
  private final Counter failures;
  private final ScheduledExecutorService scheduler;
  private volatile long lastStoreReadMillis;
  private int backoffFactor = 1;

  private ConfigurationComponent(
      ConfigurationLog log,
      CurrentConfiguration currentConfiguration,
      ReadinessPolicy readinessPolicy,
      Supplier<MembershipSnapshot> membership,
      Supplier<Duration> timeSinceLastMessage,
      MonotonicClock clock,
      RandomGenerator random,
      MeterRegistry meters) {
    this.log = log;
    this.currentConfiguration = currentConfiguration;
    this.readinessPolicy = readinessPolicy;
    this.membership = membership;
    this.timeSinceLastMessage = timeSinceLastMessage;
    this.clock = clock;
    this.random = random;
    lastStoreReadMillis = clock.millis();
    scheduler = Executors.newSingleThreadScheduledExecutor(ConfigurationComponent::newThread);
    reads = counter(meters, "heatherspread.config.reads", "Reads of the configuration log");
    failures = counter(meters, "heatherspread.config.read.failures", "Failed reads of the log");
    Gauge.builder("heatherspread.config.version", currentConfiguration, c -> c.get().version())
        .description("Version of the configuration in force here")
        .register(meters);
    Gauge.builder(
            "heatherspread.config.store.silence", this, c -> c.timeSinceStoreRead().toSeconds())
        .description("Seconds since the table service last answered a read of the log")
        .register(meters);
  }

  /**
   * Creates the component.
   *
   * @param timeSinceLastMessage supplies the time since the last message of another daemon; zero if
   *     none is known
   * @param random source of random delays; used by one thread only
   */
  public static ConfigurationComponent create(
      ConfigurationLog log,
      CurrentConfiguration currentConfiguration,
      ReadinessPolicy readinessPolicy,
      Supplier<MembershipSnapshot> membership,
      Supplier<Duration> timeSinceLastMessage,
      MonotonicClock clock,
      RandomGenerator random,
      MeterRegistry meters) {
    return new ConfigurationComponent(
        log,
        currentConfiguration,
        readinessPolicy,
        membership,
        timeSinceLastMessage,
        clock,
        random,
        meters);
  }

  private static Counter counter(MeterRegistry meters, String name, String description) {
    return Counter.builder(name).description(description).register(meters);
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "configuration");
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public Configuration get() {
    return currentConfiguration.get();
  }

  /** Returns the reason why this daemon must refuse new work, or empty if it may accept it. */
  public Optional<String> notReadyReason() {
    return readinessPolicy.notReadyReason(
        currentConfiguration.isInitialized(), timeSinceStoreRead(), timeSinceLastMessage.get());
  }

  private Duration timeSinceStoreRead() {
    return Duration.ofMillis(clock.millis() - lastStoreReadMillis);
  }

  @Override
  public void start() {
    scheduler.execute(this::readNow);
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }

  private void readNow() {
    reads.increment();
    read().whenComplete(this::onReadCompleted);
  }

  private CompletableFuture<Void> read() {
    if (!currentConfiguration.isInitialized()) {
      return log.readHead().thenAccept(currentConfiguration::offer);
    }
    return log.readAfter(currentConfiguration.get().version())
        .thenAccept(currentConfiguration::offer);
  }

  private void onReadCompleted(Void unused, Throwable failure) {
    if (scheduler.isShutdown()) {
      return;
    }
    if (failure == null) {
      lastStoreReadMillis = clock.millis();
    } else {
      failures.increment();
      logger
          .atWarn()
          .addKeyValue("error", failure.toString())
          .log("configuration log could not be read");
    }
    scheduler.execute(
        () -> {
          backoffFactor = failure == null ? 1 : Math.min(MAX_BACKOFF_FACTOR, 2 * backoffFactor);
          scheduler.schedule(this::readNow, delayMillis(), TimeUnit.MILLISECONDS);
        });
  }

  private long delayMillis() {
    long liveDaemons = membership.get().daemons().stream().filter(Member::takesNewWork).count();
    double meanMillis =
        Math.max(MIN_MEAN_DELAY_MILLIS, 1_000.0 * liveDaemons / FLEET_READS_PER_SECOND);
    return (long) (meanMillis * backoffFactor * (0.5 + random.nextDouble()));
  }
}
