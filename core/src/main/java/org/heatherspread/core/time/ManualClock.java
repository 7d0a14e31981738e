package org.heatherspread.core.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that moves only when told, for deterministic runs of the decision logic.
 *
 * <p>Safe for use by any thread. As an {@link InstantSource} it counts from the epoch.
 */
public final class ManualClock implements MonotonicClock, InstantSource {
  private final AtomicLong nanos = new AtomicLong();

  private ManualClock() {}

  /** Creates a clock that reads zero. */
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

  /** Moves the clock forward. */
  public void advance(Duration step) {
    nanos.addAndGet(step.toNanos());
  }
}
