package org.heatherspread.relay.call;

/**
 * Bounds the memory for response bodies that are buffered until they are complete, so that
 * endpoints that send without end cannot exhaust the memory of the daemon. Confined to one thread.
 */
final class BufferBudget {
  private final long maxBytes;
  private long usedBytes;

  private BufferBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates a budget of which nothing is used. */
  static BufferBudget create(long maxBytes) {
    return new BufferBudget(maxBytes);
  }

  /** Reserves bytes, which must be released; returns false, without effect, if too few are left. */
  boolean reserve(int bytes) {
    if (usedBytes + bytes > maxBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /** Returns the number of reserved bytes. */
  long usedBytes() {
    return usedBytes;
  }

  /** Releases reserved bytes. */
  void release(int bytes) {
    usedBytes -= bytes;
  }
}
