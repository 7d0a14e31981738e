package org.heatherspread.relay.call;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the memory for response bodies that are buffered until they are complete, so that
 * endpoints that send without end cannot exhaust the memory of the daemon.
 *
 * <p>Invariant: if the bytes run out, the holder of the most bytes gives its own up, so that large
 * responses do not cost small ones. Confined to one thread.
 */
final class BufferBudget {
  private final long maxBytes;
  private final Map<Holder, Integer> bytesByHolder = new LinkedHashMap<>();
  private long usedBytes;

  /** A response that is being buffered. */
  interface Holder {
    /** Rejects the response and releases its bytes. */
    void evict();
  }

  private BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates a budget of which nothing is used. */
  static BufferBudget create(long maxBytes) {
    return new BufferBudget(maxBytes);
  }

  /**
   * Reserves bytes, which must be released, and evicts holders of more bytes if too few are left;
   * returns false, without effect, if there are none.
   */
  boolean reserve(Holder holder, int bytes) {
    int heldBytes = bytesByHolder.getOrDefault(holder, 0);
    while (usedBytes + bytes > maxBytes) {
      Map.Entry<Holder, Integer> largest = findLargest();
      if (largest == null || largest.getValue() <= heldBytes + bytes) {
        return false;
      }
      Holder evicted = largest.getKey();
      evicted.evict();
      release(evicted);
    }
    bytesByHolder.put(holder, heldBytes + bytes);
    usedBytes += bytes;
    return true;
  }

  private Map.Entry<Holder, Integer> findLargest() {
    Map.Entry<Holder, Integer> largest = null;
    for (Map.Entry<Holder, Integer> entry : bytesByHolder.entrySet()) {
      if (largest == null || entry.getValue() > largest.getValue()) {
        largest = entry;
      }
    }
    return largest;
  }

  /** Returns the number of reserved bytes. */
  long usedBytes() {
    return usedBytes;
  }

  /** Releases the bytes of a holder; does nothing if it has none. */
  void release(Holder holder) {
    Integer bytes = bytesByHolder.remove(holder);
    usedBytes -= bytes == null ? 0 : bytes;
  }
}
