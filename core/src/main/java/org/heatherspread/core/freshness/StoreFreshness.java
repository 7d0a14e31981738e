package org.heatherspread.core.freshness;

import java.time.InstantSource;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.time.MonotonicClock;

/**
 * How old this daemon's knowledge of the store is, and what the store's clock shows.
 *
 * <p>Answers the load of outages, frozen processes and stale reads: knowledge counts from when a
 * sound read was asked for, never from its answer. The monotonic clock does not count a suspension
 * and the time of day may jump, so the age is the greater of what the two show; a jump ahead costs
 * one read, a suspension is never missed. Invariant: a reading whose store clock lags behind an
 * earlier one is not sound. Confined to one thread.
 */
public final class StoreFreshness {
  /** Lag of the store's clock that is put down to rounding, in milliseconds. */
  private static final long CLOCK_TOLERANCE_MILLIS = 100;

  private final MonotonicClock clock;
  private final InstantSource wall;
  private boolean heard;
  private long askedMonoMillis;
  private long askedWallMillis;
  private long storeMillis;
  private long storeAtMonoMillis;

  private StoreFreshness(MonotonicClock clock, InstantSource wall) {
    this.clock = clock;
    this.wall = wall;
  }

  /** Creates the state of a daemon that has never reached the store. */
  public static StoreFreshness create(MonotonicClock clock, InstantSource wall) {
    return new StoreFreshness(clock, wall);
  }

  /** Marks the start of a read, to be given to {@link #recordRead} with its answer. */
  public ReadStart startRead() {
    return new ReadStart(clock.millis(), wall.millis());
  }

  /** Takes in an answer; false if it is older than what is known already. */
  public boolean recordRead(ReadStart asked, SharedReading reading) {
    long earliest = storeMillis + (asked.monotonicMillis - storeAtMonoMillis);
    if (heard && reading.storeMillis() + CLOCK_TOLERANCE_MILLIS < earliest) {
      return false;
    }
    if (!heard || asked.monotonicMillis >= askedMonoMillis) {
      askedMonoMillis = asked.monotonicMillis;
      askedWallMillis = asked.wallMillis;
    }
    heard = true;
    storeMillis = reading.storeMillis();
    storeAtMonoMillis = clock.millis();
    return true;
  }

  /** Returns the age of the newest sound read, {@code Long.MAX_VALUE} before the first. */
  public long ageMillis() {
    if (!heard) {
      return Long.MAX_VALUE;
    }
    return Math.max(clock.millis() - askedMonoMillis, wall.millis() - askedWallMillis);
  }

  /** Returns what the store's clock shows now, by the newest sound read; 0 before the first. */
  public long storeMillis() {
    return heard ? storeMillis + (clock.millis() - storeAtMonoMillis) : 0;
  }

  /** Returns this machine's time of day less the store's clock. */
  public long wallClockOffsetMillis() {
    return wall.millis() - storeMillis();
  }

  /** When a read was asked for, on both clocks. */
  public record ReadStart(long monotonicMillis, long wallMillis) {
    /** Returns the time so much earlier, at which what was passed on had been known. */
    public ReadStart minusMillis(long millis) {
      return new ReadStart(monotonicMillis - millis, wallMillis - millis);
    }
  }
}
