package org.heatherspread.core.poison;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Detects poison requests from the requests that run on each endpoint and the crashes of endpoints.
 *
 * <p>Every request that ran on an endpoint when it crashed becomes a suspect. At most one suspect
 * runs on an endpoint at a time, so that the next crash can be attributed to one of them. A request
 * whose crashes reach the threshold is poisoned, unless the last crash takes several requests to
 * the threshold; then all of them stay suspects. Crashes of a poisoned request no longer count
 * against other requests, and a suspect that completes is cleared. A crash counts once, regardless
 * of the number of daemons that report it.
 *
 * <p>Thread-safe; all methods are short and synchronized.
 */
public final class PoisonDetector {
  private record Entry(Evidence evidence, long expiresAtMillis) {}

  private final PoisonPolicy policy;
  private final InstantSource clock;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<EndpointIncarnation, Map<String, Integer>> running = new HashMap<>();
  private final Map<EndpointIncarnation, Set<String>> unresolvedLosses = new HashMap<>();
  private final Set<String> reservedElsewhere = new HashSet<>();

  private PoisonDetector(PoisonPolicy policy, InstantSource clock) {
    this.policy = policy;
    this.clock = clock;
  }

  /** Creates a detector without evidence. */
  public static PoisonDetector create(PoisonPolicy policy, InstantSource clock) {
    return new PoisonDetector(policy, clock);
  }

  /**
   * Returns the status of a request. A request is a suspect as long as it is unknown whether an
   * endpoint that it lost the connection to has crashed.
   */
  public synchronized PoisonStatus status(String fingerprint) {
    removeExpired();
    Entry entry = entries.get(fingerprint);
    if (entry != null && entry.evidence().poisoned()) {
      return PoisonStatus.POISONED;
    }
    boolean suspect = entry != null && !entry.evidence().unclearedCrashes().isEmpty();
    return suspect || awaitsCrashResult(fingerprint) ? PoisonStatus.SUSPECT : PoisonStatus.CLEAR;
  }

  private boolean awaitsCrashResult(String fingerprint) {
    for (Set<String> requests : unresolvedLosses.values()) {
      if (requests.contains(fingerprint)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether the request may be found poisoned as soon as it is known whether an endpoint
   * that it lost the connection to has crashed.
   */
  public synchronized boolean isDecisionPending(String fingerprint) {
    return awaitsCrashResult(fingerprint)
        && evidence(fingerprint).unclearedCrashes().size() >= policy.crashThreshold() - 1;
  }

  /** Returns the instance ids of endpoints that run a suspect other than this request. */
  public synchronized Set<String> endpointsWithSuspects(String fingerprint) {
    Set<String> avoided = new HashSet<>(reservedElsewhere);
    for (Map.Entry<EndpointIncarnation, Map<String, Integer>> entry : running.entrySet()) {
      for (String other : entry.getValue().keySet()) {
        if (!other.equals(fingerprint) && status(other) == PoisonStatus.SUSPECT) {
          avoided.add(entry.getKey().id());
        }
      }
    }
    return avoided;
  }

  /**
   * Returns the instance ids of endpoints that a request should not be sent to: those that run
   * another suspect and, if the request is itself a suspect, those that run any other request.
   */
  public synchronized Set<String> endpointsToAvoid(String fingerprint) {
    Set<String> avoided = endpointsWithSuspects(fingerprint);
    if (status(fingerprint) != PoisonStatus.SUSPECT) {
      return avoided;
    }
    for (Map.Entry<EndpointIncarnation, Map<String, Integer>> entry : running.entrySet()) {
      boolean runsOnlyThisRequest =
          entry.getValue().size() == 1 && entry.getValue().containsKey(fingerprint);
      if (!runsOnlyThisRequest) {
        avoided.add(entry.getKey().id());
      }
    }
    return avoided;
  }

  /**
   * Sets whether another daemon reserves an endpoint to run a suspect without other requests.
   *
   * @param endpointId instance id of the endpoint
   */
  public synchronized void setReservedElsewhere(String endpointId, boolean reserved) {
    if (reserved) {
      reservedElsewhere.add(endpointId);
    } else {
      reservedElsewhere.remove(endpointId);
    }
  }

  /** Records that an attempt was sent to an endpoint. */
  public synchronized void attemptDispatched(String fingerprint, EndpointIncarnation endpoint) {
    running.computeIfAbsent(endpoint, key -> new HashMap<>()).merge(fingerprint, 1, Integer::sum);
  }

  /**
   * Records that an attempt ended with a complete answer.
   *
   * @return evidence to send to the other daemons, present if this cleared a suspect
   */
  public synchronized Optional<Evidence> attemptCompleted(
      String fingerprint, EndpointIncarnation endpoint) {
    attemptEnded(fingerprint, endpoint);
    Entry entry = entries.get(fingerprint);
    if (entry == null
        || entry.evidence().poisoned()
        || entry.evidence().unclearedCrashes().isEmpty()) {
      return Optional.empty();
    }
    Evidence cleared = entry.evidence().withCleared(entry.evidence().crashes());
    put(cleared);
    return Optional.of(cleared);
  }

  /** Records that an attempt ended in a way that implies neither a crash nor its absence. */
  public synchronized void attemptEnded(String fingerprint, EndpointIncarnation endpoint) {
    Map<String, Integer> requests = running.get(endpoint);
    if (requests == null) {
      return;
    }
    requests.computeIfPresent(fingerprint, (request, count) -> count > 1 ? count - 1 : null);
    if (requests.isEmpty()) {
      running.remove(endpoint);
    }
  }

  /**
   * Records that the connection of an attempt broke. The request is a suspect until {@link
   * #endpointCrashed} or {@link #endpointNotCrashed} is called for the endpoint.
   */
  public synchronized void connectionLost(String fingerprint, EndpointIncarnation endpoint) {
    attemptEnded(fingerprint, endpoint);
    unresolvedLosses.computeIfAbsent(endpoint, key -> new HashSet<>()).add(fingerprint);
  }

  /**
   * Records that an endpoint is alive, was reclaimed or is unreachable, so that connections lost to
   * it are no evidence against requests.
   */
  public synchronized void endpointNotCrashed(EndpointIncarnation endpoint) {
    unresolvedLosses.remove(endpoint);
  }

  /**
   * Records that an endpoint crashed.
   *
   * @return evidence to send to the other daemons
   */
  public synchronized List<Evidence> endpointCrashed(EndpointIncarnation endpoint) {
    Set<String> requests = new HashSet<>();
    Set<String> lostRequests = unresolvedLosses.remove(endpoint);
    if (lostRequests != null) {
      requests.addAll(lostRequests);
    }
    Map<String, Integer> runningRequests = running.remove(endpoint);
    if (runningRequests != null) {
      requests.addAll(runningRequests.keySet());
    }
    List<Evidence> changed = new ArrayList<>();
    int atThreshold = 0;
    for (String fingerprint : requests) {
      Evidence next = evidence(fingerprint).withCrash(endpoint.crashId());
      put(next);
      changed.add(next);
      atThreshold += next.unclearedCrashes().size() >= policy.crashThreshold() ? 1 : 0;
    }
    if (atThreshold == 1) {
      for (Evidence evidence : List.copyOf(changed)) {
        updateVerdict(evidence, changed);
      }
    }
    return changed;
  }

  /**
   * Merges evidence from another daemon.
   *
   * @return the evidence that changed, except what equals the received evidence
   */
  public synchronized List<Evidence> mergeEvidence(Evidence received) {
    Evidence local = evidence(received.fingerprint());
    Evidence merged = local.merge(received);
    List<Evidence> changed = new ArrayList<>();
    if (merged.equals(local)) {
      return changed;
    }
    put(merged);
    changed.add(merged);
    updateVerdict(merged, changed);
    changed.remove(received);
    return changed;
  }

  private void updateVerdict(Evidence evidence, List<Evidence> changed) {
    Evidence decided = evidence;
    if (!evidence.poisoned() && evidence.unclearedCrashes().size() >= policy.crashThreshold()) {
      decided = evidence.asPoisoned();
      put(decided);
      changed.remove(evidence);
      changed.add(decided);
    }
    if (decided.poisoned()) {
      clearOtherRequests(decided, changed);
    }
  }

  /** Clears other requests of the crashes that a poisoned request was involved in. */
  private void clearOtherRequests(Evidence culprit, List<Evidence> changed) {
    for (Entry entry : List.copyOf(entries.values())) {
      Evidence other = entry.evidence();
      Set<String> clearable = new HashSet<>(other.unclearedCrashes());
      clearable.retainAll(culprit.crashes());
      if (!other.poisoned() && !clearable.isEmpty()) {
        Evidence cleared = other.withCleared(clearable);
        put(cleared);
        changed.add(cleared);
      }
    }
  }

  private Evidence evidence(String fingerprint) {
    Entry entry = entries.get(fingerprint);
    return entry == null ? Evidence.none(fingerprint) : entry.evidence();
  }

  private void put(Evidence evidence) {
    long expiry = clock.millis() + policy.retention().toMillis();
    entries.remove(evidence.fingerprint());
    if (entries.size() >= policy.maxEntries()) {
      entries.remove(entries.keySet().iterator().next());
    }
    entries.put(evidence.fingerprint(), new Entry(evidence, expiry));
  }

  /** Removes expired entries from the front, as entries are in the order of their last change. */
  private void removeExpired() {
    long now = clock.millis();
    var iterator = entries.values().iterator();
    while (iterator.hasNext() && iterator.next().expiresAtMillis() <= now) {
      iterator.remove();
    }
  }
}
