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
 * Reads the configuration log and tells which configuration is in force here and whether it may be
 * acted on. Life cycle: {@link #create}, {@link #start}, {@link #close}.
 *
 * <p>Other daemons spread entries within a second or two; the reads of the log only repair what the
 * exchange missed, at a rate that all daemons share, with jitter and back-off. Safe for use by any
 * thread.
 */
public final class ConfigurationComponent implements DaemonComponent, Supplier<Configuration> {
  private static final Logger logger = LoggerFactory.getLogger(ConfigurationComponent.class);
  private static final double READS_PER_SECOND = 100;
  private static final long SHORTEST_MILLIS = 1_000;
  private static final int MAX_BACKOFF = 8;

  private final ConfigurationLog log;
  private final CurrentConfiguration inForce;
  private final ReadinessPolicy freshness;
  private final Supplier<MembershipSnapshot> membership;
  private final Supplier<Duration> silence;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final Counter reads;
  private final Counter failures;
  private final ScheduledExecutorService scheduler;
  private volatile long storeHeardMillis;
  private int backoff = 1;

  private ConfigurationComponent(
      ConfigurationLog log,
      CurrentConfiguration inForce,
      ReadinessPolicy freshness,
      Supplier<MembershipSnapshot> membership,
      Supplier<Duration> silence,
      MonotonicClock clock,
      RandomGenerator random,
      MeterRegistry meters) {
    this.log = log;
    this.inForce = inForce;
    this.freshness = freshness;
    this.membership = membership;
    this.silence = silence;
    this.clock = clock;
    this.random = random;
    storeHeardMillis = clock.millis();
    scheduler = Executors.newSingleThreadScheduledExecutor(ConfigurationComponent::thread);
    reads = counter(meters, "heatherspread.config.reads", "Reads of the configuration log");
    failures = counter(meters, "heatherspread.config.read.failures", "Failed reads of the log");
    Gauge.builder("heatherspread.config.version", inForce, c -> c.get().version())
        .description("Version of the configuration in force here")
        .register(meters);
    Gauge.builder("heatherspread.config.store.silence", this, c -> c.sinceStore().toSeconds())
        .description("Seconds since the table service last answered a read of the log")
        .register(meters);
  }

  /**
   * Creates the component.
   *
   * @param silence for how long no other daemon was heard; zero where none is known
   * @param random decides delays; used by one thread only
   */
  public static ConfigurationComponent create(
      ConfigurationLog log,
      CurrentConfiguration inForce,
      ReadinessPolicy freshness,
      Supplier<MembershipSnapshot> membership,
      Supplier<Duration> silence,
      MonotonicClock clock,
      RandomGenerator random,
      MeterRegistry meters) {
    return new ConfigurationComponent(
        log, inForce, freshness, membership, silence, clock, random, meters);
  }

  private static Counter counter(MeterRegistry meters, String name, String description) {
    return Counter.builder(name).description(description).register(meters);
  }

  private static Thread thread(Runnable work) {
    Thread thread = new Thread(work, "configuration");
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public Configuration get() {
    return inForce.get();
  }

  /** Returns why this daemon may take no new work, or empty if it may. */
  public Optional<String> notReadyReason() {
    return freshness.notReadyReason(inForce.isInitialized(), sinceStore(), silence.get());
  }

  private Duration sinceStore() {
    return Duration.ofMillis(clock.millis() - storeHeardMillis);
  }

  // ---------------------------------------------------------------------------------------------
  // Reading the log
  // ---------------------------------------------------------------------------------------------

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
    read().whenComplete(this::readDone);
  }

  private CompletableFuture<Void> read() {
    if (!inForce.isInitialized()) {
      return log.readHead().thenAccept(inForce::offer);
    }
    return log.readAfter(inForce.get().version()).thenAccept(inForce::offer);
  }

  private void readDone(Void nothing, Throwable failure) {
    if (scheduler.isShutdown()) {
      return;
    }
    if (failure == null) {
      storeHeardMillis = clock.millis();
    } else {
      failures.increment();
      logger.atWarn().addKeyValue("error", failure.toString()).log("configuration log not read");
    }
    scheduler.execute(
        () -> {
          backoff = failure == null ? 1 : Math.min(MAX_BACKOFF, 2 * backoff);
          scheduler.schedule(this::readNow, delayMillis(), TimeUnit.MILLISECONDS);
        });
  }

  private long delayMillis() {
    long daemons = membership.get().daemons().stream().filter(Member::takesNewWork).count();
    double mean = Math.max(SHORTEST_MILLIS, 1_000.0 * daemons / READS_PER_SECOND);
    return (long) (mean * backoff * (0.5 + random.nextDouble()));
  }
}
