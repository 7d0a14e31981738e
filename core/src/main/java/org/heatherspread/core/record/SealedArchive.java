package org.heatherspread.core.record;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Records that stopped witnesses handed over to this daemon, which answers in their place.
 *
 * <p>Invariant: a set is stored completely or not at all. An id that is missing from a stored set
 * was therefore never acknowledged and never will be, unless the witness may have evicted it before
 * the seal. Thread-safe; all methods are short and hold one lock.
 */
public final class SealedArchive {
  private record StoredSet(
      long retainUntilMillis, long sealedAtMillis, Map<RequestId, SealedRecord> records) {}

  private final Map<DaemonRef, StoredSet> storedSets = new HashMap<>();
  private final InstantSource clock;
  private final RecordLimits limits;
  private int recordCount;

  private SealedArchive(InstantSource clock, RecordLimits limits) {
    this.clock = clock;
    this.limits = limits;
  }

  /** Creates an empty archive. */
  public static SealedArchive create(InstantSource clock, RecordLimits limits) {
    return new SealedArchive(clock, limits);
  }

  /**
   * Stores a complete set. A set of a witness that already has one is ignored.
   *
   * @param maxCallLifetime maximum time after the seal for which a caller may hold an unexpired
   *     call
   * @return whether the set of the witness is stored; false if the archive is full
   */
  public synchronized boolean accept(SealedSet set, Duration maxCallLifetime) {
    evictExpired();
    if (storedSets.containsKey(set.witness())) {
      return true;
    }
    if (recordCount + set.records().size() > limits.capacity()) {
      return false;
    }
    Map<RequestId, SealedRecord> records = new HashMap<>();
    for (SealedRecord sealedRecord : set.records()) {
      records.put(sealedRecord.call().id(), sealedRecord);
    }
    long retainUntil = clock.millis() + maxCallLifetime.plus(limits.retention()).toMillis();
    storedSets.put(set.witness(), new StoredSet(retainUntil, set.sealedAtMillis(), records));
    recordCount += records.size();
    return true;
  }

  private void evictExpired() {
    long now = clock.millis();
    Iterator<StoredSet> iterator = storedSets.values().iterator();
    while (iterator.hasNext()) {
      StoredSet stored = iterator.next();
      if (stored.retainUntilMillis() < now) {
        iterator.remove();
        recordCount -= stored.records().size();
      }
    }
  }

  /** Records the outcome of a call whose witness stopped before the owner reported it. */
  public synchronized void recordOutcome(CallDescriptor call, CallOutcome outcome) {
    evictExpired();
    StoredSet stored = storedSets.get(call.id().witness());
    SealedRecord sealedRecord = stored == null ? null : stored.records().get(call.id());
    if (sealedRecord == null || sealedRecord.outcome().state() != CallState.UNKNOWN) {
      return;
    }
    if (sealedRecord.call().sameCall(call)) {
      stored.records().put(call.id(), new SealedRecord(call, outcome));
    }
  }

  /** Returns the outcome of a call in place of its stopped witness. */
  public synchronized CallOutcome resolve(CallDescriptor call) {
    evictExpired();
    StoredSet stored = storedSets.get(call.id().witness());
    if (stored == null) {
      return CallOutcome.notHeld();
    }
    SealedRecord sealedRecord = stored.records().get(call.id());
    if (sealedRecord != null) {
      return sealedRecord.call().sameCall(call)
          ? sealedRecord.outcome()
          : CallOutcome.otherRequest();
    }
    boolean mayBeEvicted = call.expiresAtMillis() <= stored.sealedAtMillis();
    return mayBeEvicted ? CallOutcome.unknown() : CallOutcome.notRun();
  }

  /** Returns the outcome that was known when the witness stopped, or that was reported since. */
  public synchronized CallOutcome peek(RequestId id, String account) {
    evictExpired();
    StoredSet stored = storedSets.get(id.witness());
    SealedRecord sealedRecord = stored == null ? null : stored.records().get(id);
    if (sealedRecord == null) {
      return CallOutcome.notHeld();
    }
    return sealedRecord.call().account().equals(account)
        ? sealedRecord.outcome()
        : CallOutcome.otherRequest();
  }

  /** Returns all sets, to be handed over when this daemon stops as well. */
  public synchronized List<SealedSet> sets() {
    evictExpired();
    List<SealedSet> sets = new ArrayList<>();
    storedSets.forEach(
        (witness, stored) ->
            sets.add(
                new SealedSet(
                    witness, stored.sealedAtMillis(), List.copyOf(stored.records().values()))));
    return sets;
  }
}
