package org.heatherspread.core.serving;

import java.util.List;

/**
 * A route of the confirmed configuration.
 *
 * @param name name in logs
 * @param host host name that callers give, in lower case
 * @param prefix start of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a caller is kept waiting, 0 for no limit
 * @param targetMillis time to the answer, or its first event, that operators aim at
 * @param priority rank, 0 for the most urgent
 * @param shares the services that may run its requests
 * @param maxAttempts endpoints that may run one attempt of a caller, at least 1
 * @param anonymous whether requests need no key
 * @param resumable whether another endpoint may go on with a stream
 * @param maxGapMillis longest pause between events that is still on time, 0 if not stated
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

  /** Copies the shares. */
  public Route {
    shares = List.copyOf(shares);
  }

  /** Tells whether a request of this route may run again after an unknown outcome. */
  public boolean isRepeatable() {
    return kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && resumable);
  }

  /** Chooses a service by weight; {@code draw} is uniform in [0, 1). */
  public String selectService(double draw) {
    double total = 0;
    for (TrafficShare share : shares) {
      total += share.weight();
    }
    double left = draw * total;
    for (TrafficShare share : shares) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return shares.get(shares.size() - 1).service();
  }
}
