package org.heatherspread.node.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * A limit that an endpoint names in its responses, with the times at which requests reached the
 * endpoint since it was named. Thread-safe.
 */
final class NamedLimit {
  /** Names no limit and records nothing. */
  static final NamedLimit NONE = new NamedLimit(-1);

  /** Time after the first naming from which all daemons must respect the limit. */
  static final long PROPAGATION_MILLIS = 3_000;

  private static final long WINDOW_MILLIS = 4_000;
  private static final double PERMITTED_RATIO = 1.5;
  private static final int PERMITTED_EXCESS = 5;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final double requestsPerSecond;
  private final long namedNanos = System.nanoTime();
  private final Queue<Long> arrivalsNanos = new ConcurrentLinkedQueue<>();

  private NamedLimit(double requestsPerSecond) {
    this.requestsPerSecond = requestsPerSecond;
  }

  static NamedLimit of(double requestsPerSecond) {
    return new NamedLimit(requestsPerSecond);
  }

  /** Returns the header that names the limit, nothing if there is none. */
  String[] headers() {
    return requestsPerSecond < 0
        ? new String[0]
        : new String[] {String.format(Locale.ROOT, "Server-Limit: %s", requestsPerSecond)};
  }

  void recordArrival() {
    if (requestsPerSecond >= 0) {
      arrivalsNanos.add(System.nanoTime());
    }
  }

  /** Returns the number of requests that may arrive in any window. */
  int permittedArrivals() {
    if (requestsPerSecond < 0) {
      return Integer.MAX_VALUE;
    }
    double seconds = WINDOW_MILLIS / MILLIS_PER_SECOND;
    return (int) (PERMITTED_RATIO * seconds * requestsPerSecond) + PERMITTED_EXCESS;
  }

  /** Returns the largest number of requests in a window after all daemons must know the limit. */
  int maxArrivals() {
    return maxArrivalsSince(namedNanos);
  }

  /**
   * Returns the largest number of requests in a window after all daemons must know the limit and a
   * given time.
   */
  int maxArrivalsSince(long earliestNanos) {
    List<Long> arrivals = new ArrayList<>(arrivalsNanos);
    long knownNanos = namedNanos + TimeUnit.MILLISECONDS.toNanos(PROPAGATION_MILLIS);
    long fromNanos = Math.max(earliestNanos, knownNanos);
    long windowNanos = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
    arrivals.removeIf(arrival -> arrival < fromNanos);
    arrivals.sort(null);
    int max = 0;
    int first = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      while (arrivals.get(last) - arrivals.get(first) > windowNanos) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  /** Returns the requests per second that reached the endpoint in the last milliseconds. */
  double recentArrivalsPerSecond(long millis) {
    long fromNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(millis);
    long count = arrivalsNanos.stream().filter(arrival -> arrival >= fromNanos).count();
    return count * MILLIS_PER_SECOND / millis;
  }
}
