package org.heatherspread.core.routing;

/**
 * A change of an endpoint's prefix cache. Immutable; the hashes must not be changed.
 *
 * @param seq grows by one with each event of an incarnation
 * @param kind what happened
 * @param hashes chained hashes of the blocks concerned; empty for a cleared cache
 */
@SuppressWarnings("ArrayRecordComponent")
public record CacheEvent(long seq, Kind kind, long[] hashes) {
  /** What happened to the blocks. */
  public enum Kind {
    /** The cache holds the blocks now. */
    STORED,
    /** The cache gave the blocks up. */
    EVICTED,
    /** The cache is empty. */
    CLEARED
  }
}
