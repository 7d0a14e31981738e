package org.heatherspread.core.poison;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Evidence of all daemons on which suspects crash endpoints, and the decision which of them to
 * refuse.
 *
 * <p>A suspect is refused for a time after its crashes have reached the threshold of its kind. A
 * crash does not count if the suspect was processed successfully shortly before it or at any time
 * after it, nor if a suspect with more crashes explains it. The time doubles with each further
 * crash, so that a wrong refusal ends by itself while a real culprit causes few crashes. The
 * decision is a function of the evidence, so daemons with the same evidence agree on it, and it is
 * revoked when a success becomes known.
 *
 * <p>Invariants: evidence merges to the same result in any order and expires at all daemons, even
 * if they repeat what they learned from each other; the number of suspects and of crashes of each
 * is bounded. Confined to one thread.
 */
public final class CrashLedger {
  private static final int MAX_CRASHES = 16;

  /** Time for which a success is sent to daemons that count crashes before it. */
  private static final long REFUTATION_SENT_MILLIS = 15_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final CrashPolicy policy;
  private final MonotonicClock clock;
  private final Map<Suspect, Entry> entries = new HashMap<>();
  private final RecentSuccesses successes = new RecentSuccesses();
  private Map<Suspect, Long> refusedUntilMillis = Map.of();

  private static final class Entry {
    private final Map<String, Long> crashMillis = new LinkedHashMap<>();
    private long succeededMillis = NEVER;
    private long refutedMillis = NEVER;
    private boolean own;

    private long newestMillis() {
      long newest = NEVER;
      for (long crash : crashMillis.values()) {
        newest = Math.max(newest, crash);
      }
      return newest;
    }
  }

  private CrashLedger(CrashPolicy policy, MonotonicClock clock) {
    this.policy = policy;
    this.clock = clock;
  }

  /** Creates a ledger without evidence. */
  public static CrashLedger create(CrashPolicy policy, MonotonicClock clock) {
    return new CrashLedger(policy, clock);
  }

  /** Returns whether there is no evidence, so that nothing is refused. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the time for which a suspect is still refused, empty if it is not. */
  public Optional<Duration> refusal(Suspect suspect) {
    long remaining = refusedUntilMillis.getOrDefault(suspect, NEVER) - clock.millis();
    return remaining > 0 ? Optional.of(Duration.ofMillis(remaining)) : Optional.empty();
  }

  /** Returns the number of suspects that are refused now. */
  public int refusedCount() {
    int count = 0;
    for (long until : refusedUntilMillis.values()) {
      count += until > clock.millis() ? 1 : 0;
    }
    return count;
  }

  /**
   * Records that suspects were being processed by an endpoint when it crashed.
   *
   * @param crashId identifies the crash, the same at every daemon
   * @return the suspects for which this was not known
   */
  public List<Suspect> recordCrash(Collection<Suspect> suspects, String crashId) {
    List<Suspect> changed = new ArrayList<>();
    for (Suspect suspect : suspects) {
      Entry entry = entryOf(suspect);
      entry.own = true;
      if (addCrash(entry, crashId, clock.millis())) {
        changed.add(suspect);
      }
    }
    decide();
    return changed;
  }

  /**
   * Records that a suspect was processed without a crash.
   *
   * @return whether the suspect had crashes that no longer count
   */
  public boolean recordSuccess(Suspect suspect) {
    successes.record(suspect, clock.millis());
    Entry entry = entries.get(suspect);
    if (entry == null) {
      return false;
    }
    boolean changes = !countedCrashes(entry).isEmpty();
    entry.succeededMillis = clock.millis();
    if (changes) {
      entry.refutedMillis = clock.millis();
      decide();
    }
    return changes;
  }

  /**
   * The result of a merge.
   *
   * @param changed suspects with crashes that were not known
   * @param refuted whether this daemon knows successes that the other one does not know
   */
  public record MergeResult(List<Suspect> changed, boolean refuted) {}

  /**
   * Merges evidence of another daemon.
   *
   * @param transitMillis time since the other daemon determined the ages
   * @return what has changed
   */
  public MergeResult merge(Collection<CrashEvidence> evidence, long transitMillis) {
    List<Suspect> changed = new ArrayList<>();
    boolean refuted = false;
    long now = clock.millis();
    for (CrashEvidence received : evidence) {
      if (received.crashAgesMillis().isEmpty()) {
        continue;
      }
      Entry entry = entryOf(received.suspect());
      boolean isNew = false;
      for (Map.Entry<String, Long> crash : received.crashAgesMillis().entrySet()) {
        isNew |= addCrash(entry, crash.getKey(), now - crash.getValue() - transitMillis);
      }
      long succeeded = NEVER;
      if (received.successAgeMillis() != CrashEvidence.NO_SUCCESS) {
        succeeded = now - received.successAgeMillis() - transitMillis;
      }
      if (isNew && isRefuted(entry) && succeeded < entry.succeededMillis) {
        entry.refutedMillis = now;
        refuted = true;
      }
      entry.succeededMillis = Math.max(entry.succeededMillis, succeeded);
      if (isNew) {
        changed.add(received.suspect());
      }
    }
    decide();
    return new MergeResult(changed, refuted);
  }

  private boolean isRefuted(Entry entry) {
    return countedCrashes(entry).size() < entry.crashMillis.size();
  }

  private Entry entryOf(Suspect suspect) {
    Entry known = entries.get(suspect);
    if (known != null) {
      return known;
    }
    if (entries.size() >= policy.maxSuspects()) {
      removeExpired();
      evictLeastIncriminated();
    }
    Entry entry = new Entry();
    entry.succeededMillis = successes.lastMillis(suspect, NEVER);
    entries.put(suspect, entry);
    return entry;
  }

  private void evictLeastIncriminated() {
    if (entries.size() < policy.maxSuspects()) {
      return;
    }
    Comparator<Map.Entry<Suspect, Entry>> byEvidence =
        Comparator.comparingInt(entry -> countedCrashes(entry.getValue()).size());
    entries.entrySet().stream()
        .min(byEvidence.thenComparingLong(entry -> entry.getValue().newestMillis()))
        .map(Map.Entry::getKey)
        .ifPresent(entries::remove);
  }

  /** Adds a crash at its earliest known time; returns whether it was not known. */
  private boolean addCrash(Entry entry, String crashId, long atMillis) {
    if (clock.millis() - atMillis > policy.retention().toMillis()) {
      return false;
    }
    Long known = entry.crashMillis.get(crashId);
    if (known == null && entry.crashMillis.size() >= MAX_CRASHES) {
      return false;
    }
    entry.crashMillis.merge(crashId, atMillis, Math::min);
    return known == null;
  }

  private void removeExpired() {
    long earliest = clock.millis() - policy.retention().toMillis();
    for (Entry entry : entries.values()) {
      entry.crashMillis.values().removeIf(crash -> crash < earliest);
    }
    entries.values().removeIf(entry -> entry.crashMillis.isEmpty());
  }

  /** Returns the crashes of an entry that its successes do not refute. */
  private Set<String> countedCrashes(Entry entry) {
    long refutedUntil = entry.succeededMillis + policy.successValidity().toMillis();
    Set<String> counted = new HashSet<>();
    entry.crashMillis.forEach(
        (crash, atMillis) -> {
          if (atMillis > refutedUntil) {
            counted.add(crash);
          }
        });
    return counted;
  }

  /** A suspect with the crashes that no other suspect explains, as of when it was queued. */
  private record Candidate(Suspect suspect, Set<String> crashes) {}

  /**
   * Decides which suspects are refused. Each crash has one cause, which is taken to be the suspect
   * with the most crashes that are not yet explained; among equals the choice is arbitrary, but the
   * same at every daemon.
   */
  private void decide() {
    removeExpired();
    PriorityQueue<Candidate> candidates =
        new PriorityQueue<>(
            Comparator.comparingInt((Candidate candidate) -> -candidate.crashes.size())
                .thenComparing(candidate -> candidate.suspect.fingerprint()));
    entries.forEach((suspect, entry) -> addCandidate(candidates, suspect, countedCrashes(entry)));
    Set<String> explained = new HashSet<>();
    Map<Suspect, Long> refused = new HashMap<>();
    while (!candidates.isEmpty()) {
      Candidate next = candidates.poll();
      if (next.crashes.removeAll(explained)) {
        addCandidate(candidates, next.suspect, next.crashes);
        continue;
      }
      explained.addAll(next.crashes);
      refused.put(next.suspect, refusalEndMillis(next));
    }
    refusedUntilMillis = refused;
  }

  private void addCandidate(Queue<Candidate> candidates, Suspect suspect, Set<String> crashes) {
    if (crashes.size() >= policy.threshold(suspect)) {
      candidates.add(new Candidate(suspect, crashes));
    }
  }

  private long refusalEndMillis(Candidate candidate) {
    Entry entry = entries.get(candidate.suspect);
    long newest = NEVER;
    for (String crash : candidate.crashes) {
      newest = Math.max(newest, entry.crashMillis.get(crash));
    }
    int excess = candidate.crashes.size() - policy.threshold(candidate.suspect);
    long refusal = policy.initialRefusal().toMillis() << excess;
    return newest + Math.min(refusal, policy.retention().toMillis());
  }

  /**
   * Returns the evidence to send to other daemons: on the suspects that are refused, whoever found
   * it, on the others what this daemon found itself, and for a time what refutes it.
   *
   * @param maxSuspects maximum number of suspects; refused ones and then the latest come first
   */
  public List<CrashEvidence> evidence(int maxSuspects) {
    removeExpired();
    List<Map.Entry<Suspect, Entry>> sent = new ArrayList<>();
    for (Map.Entry<Suspect, Entry> entry : entries.entrySet()) {
      if (isSent(entry.getKey(), entry.getValue())) {
        sent.add(entry);
      }
    }
    Comparator<Map.Entry<Suspect, Entry>> refusedFirst =
        Comparator.comparing(entry -> !refusedUntilMillis.containsKey(entry.getKey()));
    sent.sort(refusedFirst.thenComparingLong(entry -> -entry.getValue().newestMillis()));
    List<CrashEvidence> evidence = new ArrayList<>();
    for (Map.Entry<Suspect, Entry> entry : sent.subList(0, Math.min(maxSuspects, sent.size()))) {
      evidence.add(toEvidence(entry.getKey(), entry.getValue()));
    }
    return evidence;
  }

  private boolean isSent(Suspect suspect, Entry entry) {
    return refusedUntilMillis.containsKey(suspect)
        || entry.own && !countedCrashes(entry).isEmpty()
        || clock.millis() - entry.refutedMillis < REFUTATION_SENT_MILLIS;
  }

  /** Returns the evidence on a suspect, empty if there is none. */
  public Optional<CrashEvidence> findEvidence(Suspect suspect) {
    return Optional.ofNullable(entries.get(suspect)).map(entry -> toEvidence(suspect, entry));
  }

  private CrashEvidence toEvidence(Suspect suspect, Entry entry) {
    long now = clock.millis();
    Map<String, Long> ages = new HashMap<>();
    entry.crashMillis.forEach((crash, atMillis) -> ages.put(crash, now - atMillis));
    boolean succeeded = entry.succeededMillis != NEVER;
    return new CrashEvidence(
        suspect, ages, succeeded ? now - entry.succeededMillis : CrashEvidence.NO_SUCCESS);
  }
}
