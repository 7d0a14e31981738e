package org.heatherspread.relay.caller;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * Bounds on what callers can take of a daemon. Immutable.
 *
 * @param maxConnections maximum number of connections of callers at all listeners together
 * @param stallMillis time without a byte after which a request that is not complete may be given up
 *     for others
 * @param headBytes heap for the heads of requests
 */
public record CallerProtection(int maxConnections, long stallMillis, long headBytes) {
  /** Descriptors of a process that are kept for files. */
  private static final long FILE_DESCRIPTORS = 200;

  /** Fraction of the others that callers may take; the rest is for endpoints, store and daemons. */
  private static final double CALLER_RATIO = 0.75;

  private static final int MIN_CONNECTIONS = 64;
  private static final long DEFAULT_STALL_MILLIS = 2_000;

  /** Fraction of the heap for heads, which leaves room for responses beside the program's own. */
  public static final double DEFAULT_HEAD_RATIO = 0.125;

  /** Returns the bounds for this process. */
  public static CallerProtection defaults() {
    return create(0, DEFAULT_STALL_MILLIS, DEFAULT_HEAD_RATIO);
  }

  /**
   * Creates bounds for this process.
   *
   * @param maxConnections maximum number of connections, 0 to derive it from the descriptors
   * @param headRatio fraction of the heap for heads
   */
  public static CallerProtection create(int maxConnections, long stallMillis, double headRatio) {
    return new CallerProtection(
        maxConnections > 0 ? maxConnections : connectionsFor(maxDescriptors()),
        stallMillis,
        (long) (headRatio * Runtime.getRuntime().maxMemory()));
  }

  /** Returns the number of connections that a number of descriptors leaves to callers. */
  static int connectionsFor(long descriptors) {
    double connections = CALLER_RATIO * (descriptors - FILE_DESCRIPTORS);
    return (int) Math.min(Integer.MAX_VALUE, Math.max(MIN_CONNECTIONS, connections));
  }

  private static long maxDescriptors() {
    return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
        ? system.getMaxFileDescriptorCount()
        : Integer.MAX_VALUE;
  }
}
