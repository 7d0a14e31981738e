package org.heatherspread.core.freshness;

import java.time.InstantSource;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Tracks the age of this daemon's data from the store and estimates the current time of the store's
 * clock.
 *
 * <p>Outages, suspended processes and stale reads must not make data look newer than it is, so the
 * age counts from the start of a valid read rather than from its response. A read that waits for
 * changes is newer than its start: its age counts from the time at which the store certainly had
 * not answered yet ({@link StoreClockBound}). The monotonic clock does not advance during a
 * suspension and the wall clock can jump. The age is therefore the greater of both elapsed times: a
 * forward jump costs one read, and a suspension is never missed. Invariant: a read whose store
 * clock lags behind an earlier one of the same era is not valid. Confined to one thread.
 */
public final class StoreFreshness {
  /** Lag of the store's clock that is attributed to rounding. */
  private static final long CLOCK_TOLERANCE_MILLIS = 100;

  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private final StoreClockBound clockBound = StoreClockBound.create();
  private boolean initialized;
  private long era;
  private long readStartMonotonicMillis;
  private long readStartWallMillis;
  private long lastStoreMillis;
  private long storeReadAtMonotonicMillis;
  private long eraSinceStoreMillis = Long.MAX_VALUE;

  private StoreFreshness(MonotonicClock clock, InstantSource wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Creates the state of a daemon that has not read the store yet. */
  public static StoreFreshness create(MonotonicClock clock, InstantSource wallClock) {
    return new StoreFreshness(clock, wallClock);
  }

  /** Returns the start of a read, to be passed to {@link #recordRead} with the result. */
  public ClockReading startRead() {
    return readClocks();
  }

  private ClockReading readClocks() {
    return new ClockReading(clock.millis(), wallClock.millis());
  }

  /** Records the result of a read; returns false if its store clock lags behind an earlier one. */
  public boolean recordRead(ClockReading start, SharedReadResult reading) {
    long earliest = lastStoreMillis + (start.monotonicMillis - storeReadAtMonotonicMillis);
    boolean restored = showsRestore(reading);
    if (initialized && !restored && reading.storeMillis() + CLOCK_TOLERANCE_MILLIS < earliest) {
      return false;
    }
    ClockReading covered = coveredTime(start, reading);
    if (!initialized || covered.monotonicMillis >= readStartMonotonicMillis) {
      readStartMonotonicMillis = covered.monotonicMillis;
      readStartWallMillis = covered.wallMillis;
    }
    if (!initialized || restored) {
      eraSinceStoreMillis = reading.storeMillis();
    }
    initialized = true;
    era = reading.position().era();
    lastStoreMillis = reading.storeMillis();
    storeReadAtMonotonicMillis = clock.millis();
    return true;
  }

  /** Returns the latest time up to which the result certainly covers all changes. */
  private ClockReading coveredTime(ClockReading start, SharedReadResult reading) {
    ClockReading end = readClocks();
    if (reading.ageMillis() == 0) {
      clockBound.recordRead(start, end, reading.position().era(), reading.storeMillis());
    }
    ClockReading earliest = start.plusMillis(-reading.ageMillis());
    long latestMillis =
        Math.max(earliest.monotonicMillis, end.monotonicMillis - reading.ageMillis());
    long answeredMillis =
        clockBound
            .earliestMonotonicMillis(
                reading.position().era(), reading.storeMillis() - reading.ageMillis())
            .orElse(earliest.monotonicMillis);
    long coveredMillis = Math.max(earliest.monotonicMillis, Math.min(latestMillis, answeredMillis));
    return earliest.plusMillis(coveredMillis - earliest.monotonicMillis);
  }

  /** Returns the era of the store at the last valid read. */
  public long era() {
    return era;
  }

  /** Returns the era of the store at the last valid read, with the first valid read in it. */
  public EraObservation eraObservation() {
    return new EraObservation(era, eraSinceStoreMillis);
  }

  /** Returns whether the store was restored from an earlier copy since the latest valid read. */
  public boolean showsRestore(SharedReadResult reading) {
    return initialized && reading.position().era() != era;
  }

  /** Returns the age of the latest valid read, {@code Long.MAX_VALUE} before the first. */
  public long ageMillis() {
    if (!initialized) {
      return Long.MAX_VALUE;
    }
    return Math.max(
        clock.millis() - readStartMonotonicMillis, wallClock.millis() - readStartWallMillis);
  }

  /**
   * Returns the estimated time of the store's clock, based on the latest valid read; 0 before the
   * first.
   */
  public long storeMillis() {
    return initialized ? lastStoreMillis + (clock.millis() - storeReadAtMonotonicMillis) : 0;
  }

  /** Returns the offset of this machine's wall clock from the store's clock. */
  public long wallClockOffsetMillis() {
    return wallClock.millis() - storeMillis();
  }

  /** A moment on both clocks. */
  public record ClockReading(long monotonicMillis, long wallMillis) {
    /** Returns a later moment, or an earlier one if {@code millis} is negative. */
    ClockReading plusMillis(long millis) {
      return new ClockReading(monotonicMillis + millis, wallMillis + millis);
    }
  }
}
