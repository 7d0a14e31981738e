package org.heatherspread.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects that this daemon has lost the network path to all endpoints.
 *
 * <p>A partition may separate daemons from the endpoints while callers, the store and the other
 * daemons still reach them. Each request would then wait for a timeout at one endpoint after the
 * other. The daemon is isolated if several endpoints failed and none has sent anything for a while.
 * While this is only suspected, the daemon has to try to connect to some, as requests tell late or,
 * if there are few, not at all. It ceases to be isolated as soon as an endpoint sends anything or
 * accepts a connection, which it has to try, too. Confined to one thread.
 */
public final class IsolationDetector {
  /** Number of endpoints that must have failed, or all if there are fewer. */
  private static final int MIN_FAILED = 3;

  /** Number of endpoints below which one failing endpoint is more likely than a partition. */
  private static final int MIN_ENDPOINTS = 2;

  /** Time without any data from endpoints. */
  private static final long SILENCE_MILLIS = 600;

  /** Age above which failures are no longer evidence. */
  private static final long MAX_FAILURE_AGE_MILLIS = 3_000;

  private final Map<String, Long> unreachableMillis = new HashMap<>();
  private boolean isolated;
  private long connectedMillis = Long.MIN_VALUE;

  private IsolationDetector() {}

  /** Creates a detector of a daemon that is not isolated. */
  public static IsolationDetector create() {
    return new IsolationDetector();
  }

  /** Returns whether the daemon was isolated at the last update. */
  public boolean isIsolated() {
    return isolated;
  }

  /** Records that an endpoint accepted a connection, so that there is a path to it. */
  public void recordReached(long nowMillis) {
    connectedMillis = nowMillis;
    isolated = false;
    unreachableMillis.clear();
  }

  /** Records that an endpoint did not accept a connection. */
  public void recordUnreachable(TrackedEndpoint endpoint, long nowMillis) {
    unreachableMillis.values().removeIf(at -> nowMillis - at > MAX_FAILURE_AGE_MILLIS);
    unreachableMillis.put(endpoint.id(), nowMillis);
  }

  /**
   * Returns whether no endpoint has sent anything for a while although requests are in progress or
   * have failed, so that connections should be tried.
   *
   * @param endpoints endpoints of all services
   */
  public boolean isSuspected(Collection<TrackedEndpoint> endpoints, long nowMillis) {
    long reachedMillis = reachedMillis(endpoints);
    return isSilent(reachedMillis, nowMillis)
        && endpoints.stream()
            .anyMatch(
                endpoint ->
                    endpoint.running() > 0
                        || isRecentFailure(endpoint.lastFailureMillis(), reachedMillis, nowMillis));
  }

  private long reachedMillis(Collection<TrackedEndpoint> endpoints) {
    long reachedMillis = connectedMillis;
    for (TrackedEndpoint endpoint : endpoints) {
      reachedMillis = Math.max(reachedMillis, endpoint.lastProgressMillis());
    }
    return reachedMillis;
  }

  private static boolean isSilent(long reachedMillis, long nowMillis) {
    return reachedMillis == Long.MIN_VALUE || nowMillis - reachedMillis >= SILENCE_MILLIS;
  }

  private static boolean isRecentFailure(long failedMillis, long reachedMillis, long nowMillis) {
    return failedMillis > reachedMillis && nowMillis - failedMillis <= MAX_FAILURE_AGE_MILLIS;
  }

  /**
   * Evaluates the recent outcomes of this daemon's requests.
   *
   * @param endpoints endpoints of all services
   * @return whether the daemon is isolated
   */
  public boolean update(Collection<TrackedEndpoint> endpoints, long nowMillis) {
    long reachedMillis = reachedMillis(endpoints);
    isolated =
        isSilent(reachedMillis, nowMillis) && mayBeIsolated(endpoints, reachedMillis, nowMillis);
    return isolated;
  }

  /** Evaluates the endpoints while none sends anything. */
  private boolean mayBeIsolated(
      Collection<TrackedEndpoint> endpoints, long reachedMillis, long nowMillis) {
    // The failures required are never fewer than the endpoints required.
    if (!isolated && countFailed(endpoints, reachedMillis, nowMillis) < MIN_ENDPOINTS) {
      return false;
    }
    List<TrackedEndpoint> usable =
        endpoints.stream().filter(endpoint -> endpoint.isUsable(nowMillis)).toList();
    if (usable.size() < MIN_ENDPOINTS) {
      return false;
    }
    int required = Math.min(MIN_FAILED, usable.size());
    return isolated || countFailed(usable, reachedMillis, nowMillis) >= required;
  }

  private long countFailed(
      Collection<TrackedEndpoint> endpoints, long reachedMillis, long nowMillis) {
    long count = 0;
    for (TrackedEndpoint endpoint : endpoints) {
      if (isRecentFailure(lastFailureMillis(endpoint), reachedMillis, nowMillis)) {
        count++;
      }
    }
    return count;
  }

  private long lastFailureMillis(TrackedEndpoint endpoint) {
    long unreachable = unreachableMillis.getOrDefault(endpoint.id(), Long.MIN_VALUE);
    return Math.max(endpoint.lastFailureMillis(), unreachable);
  }
}
