package org.heatherspread.core.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that is advanced explicitly, for deterministic tests and simulations.
 *
 * <p>Thread-safe. As an {@link InstantSource} it starts at the epoch.
 */
public final class ManualClock implements MonotonicClock, InstantSource {
  private final AtomicLong nanos = new AtomicLong();

  private ManualClock() {}

  /** Creates a clock at zero. */
  public static ManualClock create() {
    return new ManualClock();
  }

  @Override
  public long nanos() {
    return nanos.get();
  }

  @Override
  public long millis() {
    return MonotonicClock.super.millis();
  }

  @Override
  public Instant instant() {
    return Instant.EPOCH.plusNanos(nanos.get());
  }

  /** Advances the clock. */
  public void advance(Duration step) {
    nanos.addAndGet(step.toNanos());
  }
}
