package org.heatherspread.core.routing;

/**
 * Describes one change of an endpoint's prefix cache. Immutable; callers must not modify the hash
 * array.
 *
 * @param seq sequence number, which grows by one with each event of an incarnation
 * @param kind kind of the change
 * @param hashes chained hashes of the affected blocks; empty for {@link Kind#CLEARED}
 */
@SuppressWarnings("ArrayRecordComponent")
public record CacheEvent(long seq, Kind kind, long[] hashes) {
  /** Kind of change to the cached blocks. */
  public enum Kind {
    /** The blocks were added to the cache. */
    STORED,
    /** The blocks were evicted. */
    EVICTED,
    /** The whole cache was cleared. */
    CLEARED
  }
}
