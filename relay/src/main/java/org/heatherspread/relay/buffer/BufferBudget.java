package org.heatherspread.relay.buffer;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the bytes that are held for callers and endpoints against one limit, so that neither large
 * bodies nor slow readers can exhaust the memory of the daemon: bodies of requests, for the length
 * of their call; responses that are buffered until they are complete; and written bytes that wait
 * for their reader.
 *
 * <p>Invariants: a request body is reserved before it is read, so one that was accepted is never
 * given up; large bodies leave a share to small ones and another one to responses; if the bytes for
 * responses run out, the largest one that is still being received is given up, so that large
 * responses do not cost small ones. Confined to one thread.
 */
public final class BufferBudget {
  /** Size in bytes up to which a body is small: that of a socket's usual receive buffer. */
  public static final int SMALL_BODY_BYTES = 1 << 16;

  /**
   * Limit in sixteenths of the maximum heap. Request bodies and waiting responses are outside the
   * heap, whose size also limits the JVM's direct memory by default; the rest is for the buffers of
   * sockets.
   */
  private static final int TOTAL_SIXTEENTHS = 13;

  /** Share of large request bodies in sixteenths of the maximum heap. */
  private static final int LARGE_REQUEST_SIXTEENTHS = 10;

  /** Share reserved for small bodies in sixteenths of the maximum heap. */
  private static final int SMALL_SIXTEENTHS = 1;

  /** Share of responses being received in sixteenths of the maximum heap, which holds them. */
  private static final int RECEIVED_SIXTEENTHS = 4;

  /** Limit of responses being received, in bytes, however large the heap is. */
  private static final long MAX_RECEIVED_BYTES = 24 << 20;

  private final long maxBytes;
  private final long maxLargeRequestBytes;
  private final long smallReserveBytes;
  private final long maxReceivedBytes;
  private final Map<Holder, Integer> bytesByHolder = new LinkedHashMap<>();
  private long largeRequestBytes;
  private long receivedBytes;
  private long usedBytes;

  /** A response that is being received. */
  public interface Holder {
    /** Rejects the response and releases its bytes. */
    void evict();
  }

  private BufferBudget(long heapBytes) {
    long sixteenth = heapBytes / 16;
    maxBytes = TOTAL_SIXTEENTHS * sixteenth;
    maxLargeRequestBytes = LARGE_REQUEST_SIXTEENTHS * sixteenth;
    smallReserveBytes = SMALL_SIXTEENTHS * sixteenth;
    maxReceivedBytes = Math.min(MAX_RECEIVED_BYTES, RECEIVED_SIXTEENTHS * sixteenth);
  }

  /** Creates a budget of which nothing is used, for a heap of the given maximum size in bytes. */
  public static BufferBudget forHeap(long heapBytes) {
    return new BufferBudget(heapBytes);
  }

  /** Creates a budget of which nothing is used, for the heap of this process. */
  public static BufferBudget forProcess() {
    return forHeap(Runtime.getRuntime().maxMemory());
  }

  /**
   * Enlarges the reservation for the body of a request, which must be released; returns false,
   * without effect, if the bytes are not available.
   *
   * @param reservedBytes bytes that are reserved for the body, 0 at first
   * @param nextBytes bytes to be reserved for it from now on
   */
  public boolean reserveRequest(int reservedBytes, int nextBytes) {
    int addedBytes = nextBytes - reservedBytes;
    if (nextBytes <= SMALL_BODY_BYTES) {
      if (usedBytes + addedBytes > maxBytes) {
        return false;
      }
      usedBytes += addedBytes;
      return true;
    }
    int countedBytes = reservedBytes <= SMALL_BODY_BYTES ? 0 : reservedBytes;
    boolean available =
        usedBytes + addedBytes <= maxBytes - smallReserveBytes
            && largeRequestBytes + nextBytes - countedBytes <= maxLargeRequestBytes;
    if (available) {
      usedBytes += addedBytes;
      largeRequestBytes += nextBytes - countedBytes;
    }
    return available;
  }

  /** Releases the bytes that are reserved for the body of a request. */
  public void releaseRequest(int reservedBytes) {
    usedBytes -= reservedBytes;
    if (reservedBytes > SMALL_BODY_BYTES) {
      largeRequestBytes -= reservedBytes;
    }
  }

  /** Counts bytes that were received or written already, and must be released. */
  public void hold(int bytes) {
    usedBytes += bytes;
  }

  /** Releases bytes that were counted by {@link #hold}. */
  public void release(int bytes) {
    usedBytes -= bytes;
  }

  /** Releases the bytes of a response; does nothing if it has none. */
  public void release(Holder holder) {
    Integer bytes = bytesByHolder.remove(holder);
    if (bytes != null) {
      receivedBytes -= bytes;
      usedBytes -= bytes;
    }
  }

  /** Returns whether large bodies have no more room, so that reading should stop where it can. */
  public boolean isFull() {
    return usedBytes >= maxBytes - smallReserveBytes;
  }

  /**
   * Reserves bytes of a response, which must be released, and gives up larger responses if too few
   * are left; returns false, without effect, if there are none.
   */
  public boolean reserve(Holder holder, int bytes) {
    int nextBytes = bytesByHolder.getOrDefault(holder, 0) + bytes;
    long reserveBytes = nextBytes <= SMALL_BODY_BYTES ? 0 : smallReserveBytes;
    while (receivedBytes + bytes > maxReceivedBytes
        || usedBytes + bytes > maxBytes - reserveBytes) {
      Map.Entry<Holder, Integer> largest = findLargest();
      if (largest == null || largest.getValue() <= nextBytes) {
        return false;
      }
      Holder evicted = largest.getKey();
      evicted.evict();
      release(evicted);
    }
    bytesByHolder.put(holder, nextBytes);
    receivedBytes += bytes;
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

  /** Returns the number of bytes held now. */
  public long usedBytes() {
    return usedBytes;
  }

  /** Returns the limit in bytes. */
  public long maxBytes() {
    return maxBytes;
  }
}
