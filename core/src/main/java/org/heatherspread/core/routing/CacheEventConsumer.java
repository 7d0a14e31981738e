package org.heatherspread.core.routing;

/**
 * Applies the cache events of one endpoint to the index in the order of their numbers.
 *
 * <p>A missing number drops what was not confirmed within the last minute, since an eviction may
 * have been among what was missed and engines evict what was used longest ago. A new incarnation
 * drops all that the index holds of the endpoint. Events already applied are ignored. Not safe for
 * use by several threads: one poller feeds one endpoint.
 */
public final class CacheEventConsumer {
  private static final long NONE = -1;
  private static final long GAP_MEMORY_MILLIS = 60_000;

  private final PrefixIndex index;
  private final int slot;
  private long incarnation = NONE;
  private long lastSequence = NONE;
  private long gapCount;

  private CacheEventConsumer(PrefixIndex index, int slot) {
    this.index = index;
    this.slot = slot;
  }

  /** Creates the feed of an endpoint that has published nothing yet. */
  public static CacheEventConsumer create(PrefixIndex index, int slot) {
    return new CacheEventConsumer(index, slot);
  }

  /** Returns the number of the last event applied, or -1; the next poll asks for what follows. */
  public long lastSequence() {
    return lastSequence;
  }

  /** Returns how often events were missing. */
  public long gapCount() {
    return gapCount;
  }

  /** Notes which process publishes; a new one starts with an empty cache. */
  public void updateIncarnation(long current, long nowMillis) {
    if (incarnation == current) {
      return;
    }
    if (incarnation != NONE) {
      index.invalidate(slot, nowMillis);
    }
    incarnation = current;
    lastSequence = NONE;
  }

  /** Applies one event; returns whether it was new. */
  public boolean apply(CacheEvent event, long nowMillis) {
    if (lastSequence != NONE && event.seq() <= lastSequence) {
      return false;
    }
    if (lastSequence != NONE && event.seq() != lastSequence + 1) {
      gapCount++;
      index.invalidateBefore(slot, nowMillis - GAP_MEMORY_MILLIS);
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
      default -> throw new IllegalStateException("unknown kind " + event.kind());
    }
    return true;
  }
}
