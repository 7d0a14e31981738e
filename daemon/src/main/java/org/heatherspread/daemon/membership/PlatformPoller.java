package org.heatherspread.daemon.membership;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Repeats a read from the platform at a rate that is bounded for the fleet as a whole, so that
 * neither a large fleet nor the end of an outage overloads the platform. Each daemon waits a random
 * delay whose mean is proportional to the number of live daemons and grows exponentially, up to a
 * maximum factor, while reads fail.
 *
 * <p>Not thread-safe: confined to the single thread of the scheduler.
 */
final class PlatformPoller {
  private static final long MIN_MEAN_DELAY_MILLIS = 500;
  private static final int MAX_BACKOFF_FACTOR = 8;

  private final ScheduledExecutorService scheduler;
  private final RandomGenerator random;
  private final double fleetReadsPerSecond;
  private final IntSupplier liveDaemons;
  private final Supplier<CompletableFuture<Void>> read;
  private int backoffFactor = 1;

  PlatformPoller(
      ScheduledExecutorService scheduler,
      RandomGenerator random,
      double fleetReadsPerSecond,
      IntSupplier liveDaemons,
      Supplier<CompletableFuture<Void>> read) {
    this.scheduler = scheduler;
    this.random = random;
    this.fleetReadsPerSecond = fleetReadsPerSecond;
    this.liveDaemons = liveDaemons;
    this.read = read;
  }

  /** Reads immediately and then repeatedly until the scheduler is shut down. */
  void start() {
    scheduler.execute(this::readNow);
  }

  private void readNow() {
    read.get().whenComplete((unused, failure) -> schedule(failure == null));
  }

  private void schedule(boolean succeeded) {
    if (scheduler.isShutdown()) {
      return;
    }
    scheduler.execute(
        () -> {
          backoffFactor = succeeded ? 1 : Math.min(MAX_BACKOFF_FACTOR, 2 * backoffFactor);
          scheduler.schedule(this::readNow, delayMillis(), TimeUnit.MILLISECONDS);
        });
  }

  private long delayMillis() {
    double meanMillis =
        Math.max(MIN_MEAN_DELAY_MILLIS, 1_000.0 * liveDaemons.getAsInt() / fleetReadsPerSecond);
    return (long) (meanMillis * backoffFactor * (0.5 + random.nextDouble()));
  }
}
