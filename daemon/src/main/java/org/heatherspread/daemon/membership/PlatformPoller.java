package org.heatherspread.daemon.membership;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Reads something of the platform again and again at a rate that all daemons share: each waits a
 * random time whose mean grows with the number of daemons alive, and longer while reads fail, so
 * that neither the size of the fleet nor the end of an outage loads the platform.
 *
 * <p>Confined to the scheduler's single thread.
 */
final class PlatformPoller {
  private static final long SHORTEST_MILLIS = 500;
  private static final int MAX_BACKOFF = 8;

  private final ScheduledExecutorService scheduler;
  private final RandomGenerator random;
  private final double readsPerSecond;
  private final IntSupplier daemons;
  private final Supplier<CompletableFuture<Void>> read;
  private int backoff = 1;

  PlatformPoller(
      ScheduledExecutorService scheduler,
      RandomGenerator random,
      double readsPerSecond,
      IntSupplier daemons,
      Supplier<CompletableFuture<Void>> read) {
    this.scheduler = scheduler;
    this.random = random;
    this.readsPerSecond = readsPerSecond;
    this.daemons = daemons;
    this.read = read;
  }

  /** Reads at once, and from then on until the scheduler ends. */
  void start() {
    scheduler.execute(this::readNow);
  }

  private void readNow() {
    read.get().whenComplete((nothing, failure) -> schedule(failure == null));
  }

  private void schedule(boolean answered) {
    if (scheduler.isShutdown()) {
      return;
    }
    scheduler.execute(
        () -> {
          backoff = answered ? 1 : Math.min(MAX_BACKOFF, 2 * backoff);
          scheduler.schedule(this::readNow, delayMillis(), TimeUnit.MILLISECONDS);
        });
  }

  private long delayMillis() {
    double mean = Math.max(SHORTEST_MILLIS, 1_000.0 * daemons.getAsInt() / readsPerSecond);
    return (long) (mean * backoff * (0.5 + random.nextDouble()));
  }
}
