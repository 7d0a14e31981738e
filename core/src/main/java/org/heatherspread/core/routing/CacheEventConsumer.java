package org.heatherspread.core.routing;

/**
 * Applies the cache events of one endpoint to the prefix index in sequence order.
 *
 * <p>A gap in the sequence may hide evictions. Engines evict the least recently used blocks first,
 * so a gap invalidates the entries that were not confirmed within the last minute. A new
 * incarnation invalidates all entries of the endpoint. Events that were already applied are
 * ignored. Not thread-safe: each endpoint has a single poller.
 */
public final class CacheEventConsumer {
  private static final long NO_VALUE = -1;
  private static final long GAP_RETENTION_MILLIS = 60_000;

  private final PrefixIndex index;
  private final int slot;
  private long incarnation = NO_VALUE;
  private long lastSequence = NO_VALUE;
  private long gapCount;

  private CacheEventConsumer(PrefixIndex index, int slot) {
    this.index = index;
    this.slot = slot;
  }

  /** Creates a consumer for an endpoint that has published no events yet. */
  public static CacheEventConsumer create(PrefixIndex index, int slot) {
    return new CacheEventConsumer(index, slot);
  }

  /**
   * Returns the sequence number of the last applied event, or -1. The next poll requests the events
   * after it.
   */
  public long lastSequence() {
    return lastSequence;
  }

  /** Returns the number of gaps found in the sequence. */
  public long gapCount() {
    return gapCount;
  }

  /**
   * Sets the incarnation of the publishing process. A new incarnation starts with an empty cache.
   */
  public void updateIncarnation(long current, long nowMillis) {
    if (incarnation == current) {
      return;
    }
    if (incarnation != NO_VALUE) {
      index.invalidate(slot, nowMillis);
    }
    incarnation = current;
    lastSequence = NO_VALUE;
  }

  /** Applies one event and returns whether it was new. */
  public boolean apply(CacheEvent event, long nowMillis) {
    if (lastSequence != NO_VALUE && event.seq() <= lastSequence) {
      return false;
    }
    if (lastSequence != NO_VALUE && event.seq() != lastSequence + 1) {
      gapCount++;
      index.invalidateBefore(slot, nowMillis - GAP_RETENTION_MILLIS);
    }
    lastSequence = event.seq();
    switch (event.kind()) {
      case STORED -> index.add(event.hashes(), event.hashes().length, slot, nowMillis);
      case EVICTED -> {
        for (long hash : event.hashes()) {
          index.remove(hash, slot);
        }
      }
      case CLEARED -> index.invalidate(slot, nowMillis);
      default -> throw new IllegalStateException("unknown cache event kind: " + event.kind());
    }
    return true;
  }
}
