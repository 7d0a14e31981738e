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
 * Keeps which requests run on which endpoint, and which of them crashes speak against.
 *
 * <p>Every request that ran on an endpoint when it crashed becomes a suspect. Suspects run again
 * one to an endpoint, so that the next crash names one of them. A request with a second crash is
 * poisoned, unless a crash gives several requests their second one; then all stay suspects. What a
 * poisoned request crashed is no longer held against the others; a suspect that ends with a whole
 * answer is cleared. A crash is counted once, however many daemons report it.
 *
 * <p>Safe for use by any thread; all methods are short and hold one lock.
 */
public final class PoisonDetector {
  /** Evidence and when it may be forgotten. */
  private record Entry(Evidence evidence, long expiresAtMillis) {}

  private final PoisonPolicy limits;
  private final InstantSource clock;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<EndpointIncarnation, Map<String, Integer>> running = new HashMap<>();
  private final Map<EndpointIncarnation, Set<String>> lost = new HashMap<>();
  private final Set<String> reservedElsewhere = new HashSet<>();

  private PoisonDetector(PoisonPolicy limits, InstantSource clock) {
    this.limits = limits;
    this.clock = clock;
  }

  /** Creates an empty ledger. */
  public static PoisonDetector create(PoisonPolicy limits, InstantSource clock) {
    return new PoisonDetector(limits, clock);
  }

  // ---- Questions ----

  /** Tells how a request stands; one whose endpoint was lost a moment ago is a suspect. */
  public synchronized PoisonStatus status(String fingerprint) {
    forgetOld();
    Entry entry = entries.get(fingerprint);
    if (entry != null && entry.evidence().poisoned()) {
      return PoisonStatus.POISONED;
    }
    boolean suspect = entry != null && !entry.evidence().unclearedCrashes().isEmpty();
    return suspect || isLost(fingerprint) ? PoisonStatus.SUSPECT : PoisonStatus.CLEAR;
  }

  private boolean isLost(String fingerprint) {
    for (Set<String> batch : lost.values()) {
      if (batch.contains(fingerprint)) {
        return true;
      }
    }
    return false;
  }

  /** Returns what is known of a request, empty if nothing is or it was forgotten. */
  public synchronized Optional<Evidence> findEvidence(String fingerprint) {
    forgetOld();
    return Optional.ofNullable(entries.get(fingerprint)).map(Entry::evidence);
  }

  /**
   * Tells whether the next finding may condemn the request: its endpoint was lost a moment ago, and
   * if that was a crash it is one too many.
   */
  public synchronized boolean isDecisionPending(String fingerprint) {
    return isLost(fingerprint)
        && evidence(fingerprint).unclearedCrashes().size() >= limits.crashThreshold() - 1;
  }

  /** Returns instance ids of endpoints that run a suspect other than this request. */
  public synchronized Set<String> endpointsWithSuspects(String fingerprint) {
    Set<String> avoided = new HashSet<>(reservedElsewhere);
    for (Map.Entry<EndpointIncarnation, Map<String, Integer>> each : running.entrySet()) {
      for (String other : each.getValue().keySet()) {
        if (!other.equals(fingerprint) && status(other) == PoisonStatus.SUSPECT) {
          avoided.add(each.getKey().id());
        }
      }
    }
    return avoided;
  }

  /**
   * Returns instance ids of endpoints that a request should not be sent to: those that run another
   * suspect, and for a suspect those that run anything else.
   */
  public synchronized Set<String> endpointsToAvoid(String fingerprint) {
    Set<String> avoided = endpointsWithSuspects(fingerprint);
    if (status(fingerprint) != PoisonStatus.SUSPECT) {
      return avoided;
    }
    for (Map.Entry<EndpointIncarnation, Map<String, Integer>> each : running.entrySet()) {
      boolean alone = each.getValue().size() == 1 && each.getValue().containsKey(fingerprint);
      if (!alone) {
        avoided.add(each.getKey().id());
      }
    }
    return avoided;
  }

  /** Notes that another daemon runs a suspect alone on an endpoint, or that it has ended. */
  public synchronized void setReservedElsewhere(String endpointId, boolean reserved) {
    if (reserved) {
      reservedElsewhere.add(endpointId);
    } else {
      reservedElsewhere.remove(endpointId);
    }
  }

  // ---- Attempts ----

  /** An attempt was sent. */
  public synchronized void attemptDispatched(String fingerprint, EndpointIncarnation endpoint) {
    running.computeIfAbsent(endpoint, life -> new HashMap<>()).merge(fingerprint, 1, Integer::sum);
  }

  /** An attempt ended with a whole answer; returns evidence to spread if this cleared a suspect. */
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

  /** An attempt ended in a way that says nothing of a crash. */
  public synchronized void attemptEnded(String fingerprint, EndpointIncarnation endpoint) {
    Map<String, Integer> batch = running.get(endpoint);
    if (batch == null) {
      return;
    }
    batch.computeIfPresent(fingerprint, (key, count) -> count > 1 ? count - 1 : null);
    if (batch.isEmpty()) {
      running.remove(endpoint);
    }
  }

  /** The connection of an attempt broke; whether the endpoint crashed is not known yet. */
  public synchronized void connectionLost(String fingerprint, EndpointIncarnation endpoint) {
    attemptEnded(fingerprint, endpoint);
    lost.computeIfAbsent(endpoint, life -> new HashSet<>()).add(fingerprint);
  }

  // ---- Crashes ----

  /** The endpoint is alive, or was reclaimed or cut off: what was lost there is no evidence. */
  public synchronized void endpointNotCrashed(EndpointIncarnation endpoint) {
    lost.remove(endpoint);
  }

  /** The endpoint crashed; returns the evidence to spread. */
  public synchronized List<Evidence> endpointCrashed(EndpointIncarnation endpoint) {
    Set<String> batch = new HashSet<>();
    Set<String> broken = lost.remove(endpoint);
    if (broken != null) {
      batch.addAll(broken);
    }
    Map<String, Integer> still = running.remove(endpoint);
    if (still != null) {
      batch.addAll(still.keySet());
    }
    List<Evidence> changed = new ArrayList<>();
    int candidates = 0;
    for (String fingerprint : batch) {
      Evidence next = evidence(fingerprint).withCrash(endpoint.crashId());
      put(next);
      changed.add(next);
      candidates += next.unclearedCrashes().size() >= limits.crashThreshold() ? 1 : 0;
    }
    if (candidates == 1) {
      for (Evidence each : List.copyOf(changed)) {
        judge(each, changed);
      }
    }
    return changed;
  }

  /** Takes evidence from another daemon; returns evidence that this changed for others as well. */
  public synchronized List<Evidence> mergeEvidence(Evidence theirs) {
    Evidence ours = evidence(theirs.fingerprint());
    Evidence joined = ours.merge(theirs);
    List<Evidence> changed = new ArrayList<>();
    if (joined.equals(ours)) {
      return changed;
    }
    put(joined);
    changed.add(joined);
    judge(joined, changed);
    changed.remove(theirs);
    return changed;
  }

  private void judge(Evidence evidence, List<Evidence> changed) {
    Evidence judged = evidence;
    if (!evidence.poisoned() && evidence.unclearedCrashes().size() >= limits.crashThreshold()) {
      judged = evidence.asPoisoned();
      put(judged);
      changed.remove(evidence);
      changed.add(judged);
    }
    if (judged.poisoned()) {
      clearOthers(judged, changed);
    }
  }

  /** What a poisoned request crashed is not held against others. */
  private void clearOthers(Evidence culprit, List<Evidence> changed) {
    for (Entry entry : List.copyOf(entries.values())) {
      Evidence other = entry.evidence();
      Set<String> explained = new HashSet<>(other.unclearedCrashes());
      explained.retainAll(culprit.crashes());
      if (!other.poisoned() && !explained.isEmpty()) {
        Evidence cleared = other.withCleared(explained);
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
    long expiry = clock.millis() + limits.retention().toMillis();
    entries.remove(evidence.fingerprint());
    if (entries.size() >= limits.maxEntries()) {
      entries.remove(entries.keySet().iterator().next());
    }
    entries.put(evidence.fingerprint(), new Entry(evidence, expiry));
  }

  /** Entries are in the order of their last change, so the oldest come first. */
  private void forgetOld() {
    long now = clock.millis();
    var each = entries.values().iterator();
    while (each.hasNext() && each.next().expiresAtMillis() <= now) {
      each.remove();
    }
  }
}
