package org.heatherspread.core.freshness;

import java.time.InstantSource;
import org.heatherspread.core.store.SharedReadResult;
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
public final class StoreContact {
  /** Lag of the store's clock that is put down to rounding, in milliseconds. */
  private static final long CLOCK_TOLERANCE_MILLIS = 100;

  private final MonotonicClock clock;
  private final InstantSource wall;
  private boolean heard;
  private long askedMonoMillis;
  private long askedWallMillis;
  private long storeMillis;
  private long storeAtMonoMillis;

  private StoreContact(MonotonicClock clock, InstantSource wall) {
    this.clock = clock;
    this.wall = wall;
  }

  /** Creates the state of a daemon that has never reached the store. */
  public static StoreContact create(MonotonicClock clock, InstantSource wall) {
    return new StoreContact(clock, wall);
  }

  /** Marks the start of a read, to be given to {@link #heard} with its answer. */
  public Asked ask() {
    return new Asked(clock.millis(), wall.millis());
  }

  /** Takes in an answer; false if it is older than what is known already. */
  public boolean heard(Asked asked, SharedReadResult reading) {
    long earliest = storeMillis + (asked.monoMillis - storeAtMonoMillis);
    if (heard && reading.storeMillis() + CLOCK_TOLERANCE_MILLIS < earliest) {
      return false;
    }
    if (!heard || asked.monoMillis >= askedMonoMillis) {
      askedMonoMillis = asked.monoMillis;
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
  public long wallLessStoreMillis() {
    return wall.millis() - storeMillis();
  }

  /** When a read was asked for, on both clocks. */
  public record Asked(long monoMillis, long wallMillis) {
    /** Returns the time so much earlier, at which what was passed on had been known. */
    public Asked earlier(long millis) {
      return new Asked(monoMillis - millis, wallMillis - millis);
    }
  }
}
