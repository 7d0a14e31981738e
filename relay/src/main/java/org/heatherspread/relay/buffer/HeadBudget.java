package org.heatherspread.relay.buffer;

import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Counts the heap that the heads of callers' requests take, also of those that are not complete, as
 * a head of many short fields takes up to forty times its size on the wire.
 *
 * <p>Invariants: a request that was passed to its handler keeps its bytes until it ends; if the
 * bytes run out, the requests that are not complete are given up, the largest first, and the one
 * that asks for bytes is refused if none of the others is larger; small heads have a share to
 * themselves. Confined to one thread.
 */
public final class HeadBudget {
  /** Size in bytes up to which a head is small: several times that of ordinary requests. */
  public static final int SMALL_HEAD_BYTES = 1 << 14;

  /** Fraction of the budget that large heads leave to small ones. */
  private static final double SMALL_RATIO = 0.25;

  private final long maxBytes;
  private final Map<Holder, Integer> bytesByHolder = new IdentityHashMap<>();
  private long usedBytes;

  /** A connection whose requests take bytes. */
  public interface Holder {
    /** Returns whether giving up bytes costs only requests that are not complete. */
    boolean canEvictHead();

    /** Gives up the requests that are not complete, and releases their bytes. */
    void evictHead();
  }

  private HeadBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates a budget of which nothing is used. */
  public static HeadBudget create(long maxBytes) {
    return new HeadBudget(maxBytes);
  }

  /**
   * Sets the bytes of a holder, 0 to release them. Returns false, without effect, if they are not
   * available and no larger holder can be evicted.
   */
  public boolean set(Holder holder, int bytes) {
    int heldBytes = bytesByHolder.getOrDefault(holder, 0);
    long reserveBytes = bytes <= SMALL_HEAD_BYTES ? 0 : (long) (SMALL_RATIO * maxBytes);
    while (bytes > heldBytes && usedBytes - heldBytes + bytes > maxBytes - reserveBytes) {
      Holder largest = findLargest(holder, bytes);
      if (largest == null) {
        return false;
      }
      largest.evictHead();
      release(largest);
    }
    release(holder);
    if (bytes > 0) {
      bytesByHolder.put(holder, bytes);
      usedBytes += bytes;
    }
    return true;
  }

  /** Releases the bytes of a holder; does nothing if it has none. */
  public void release(Holder holder) {
    Integer bytes = bytesByHolder.remove(holder);
    if (bytes != null) {
      usedBytes -= bytes;
    }
  }

  /** Returns the largest other holder that can be evicted and holds at least some bytes. */
  private Holder findLargest(Holder excluded, int minBytes) {
    Holder largest = null;
    int largestBytes = minBytes;
    for (Map.Entry<Holder, Integer> entry : bytesByHolder.entrySet()) {
      boolean larger = entry.getValue() >= largestBytes && entry.getKey() != excluded;
      if (larger && entry.getKey().canEvictHead()) {
        largest = entry.getKey();
        largestBytes = entry.getValue();
      }
    }
    return largest;
  }

  /** Returns the number of bytes held now. */
  public long usedBytes() {
    return usedBytes;
  }
}
