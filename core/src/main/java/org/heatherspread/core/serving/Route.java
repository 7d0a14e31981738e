package org.heatherspread.core.serving;

import java.util.List;

/**
 * A route from a host and path prefix to services. Immutable.
 *
 * @param name name in logs
 * @param host host name in lower case
 * @param prefix path prefix; begins and ends with a slash
 * @param kind determines whether requests may be repeated
 * @param timeoutMillis maximum time to answer a caller, 0 for no limit
 * @param targetMillis target latency of the response, or of its first event
 * @param priority priority of the requests; 0 is the most urgent
 * @param shares services that the requests are distributed to, not empty
 * @param maxAttempts maximum number of endpoints that may run one attempt by a caller, at least 1
 * @param anonymous whether requests are accepted without a key
 * @param resumable whether another endpoint may resume an interrupted stream
 * @param maxGapMillis target for the maximum time between two events of a stream, 0 if not set
 */
public record Route(
    String name,
    String host,
    String prefix,
    CallKind kind,
    int timeoutMillis,
    int targetMillis,
    int priority,
    List<TrafficShare> shares,
    int maxAttempts,
    boolean anonymous,
    boolean resumable,
    int maxGapMillis) {

  /** Copies the shares, so that the record is immutable. */
  public Route {
    shares = List.copyOf(shares);
  }

  /** Returns whether a request may run again after an unknown outcome. */
  public boolean isRepeatable() {
    return kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && resumable);
  }

  /**
   * Selects a service at random according to the weights.
   *
   * @param random random number, uniform in [0, 1)
   */
  public String selectService(double random) {
    double total = 0;
    for (TrafficShare share : shares) {
      total += share.weight();
    }
    double remaining = random * total;
    for (TrafficShare share : shares) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }
}
