package org.heatherspread.core.record;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The records that stopped witnesses handed over to this daemon, to answer in their place.
 *
 * <p>Invariant: a set is here whole or not at all, so an id that is missing from it was never
 * acknowledged and never will be, unless the witness may have forgotten it before the seal. Safe
 * for use by any thread; all methods are short and hold one lock.
 */
public final class SealedArchive {
  private record Shelf(
      long keptUntilMillis, long sealedAtMillis, Map<RequestId, SealedRecord> all) {}

  private final Map<DaemonRef, Shelf> shelves = new HashMap<>();
  private final InstantSource clock;
  private final RecordLimits limits;
  private int size;

  private SealedArchive(InstantSource clock, RecordLimits limits) {
    this.clock = clock;
    this.limits = limits;
  }

  /** Creates an empty archive. */
  public static SealedArchive create(InstantSource clock, RecordLimits limits) {
    return new SealedArchive(clock, limits);
  }

  /**
   * Takes over a whole set.
   *
   * @param longestLife how long after the seal a caller may still hold an unexpired call
   * @return whether it was kept; false if the archive is full
   */
  public synchronized boolean accept(SealedSet set, Duration longestLife) {
    forgetOld();
    if (shelves.containsKey(set.witness())) {
      return true;
    }
    if (size + set.records().size() > limits.capacity()) {
      return false;
    }
    Map<RequestId, SealedRecord> all = new HashMap<>();
    for (SealedRecord each : set.records()) {
      all.put(each.draft().id(), each);
    }
    long until = clock.millis() + longestLife.plus(limits.retention()).toMillis();
    shelves.put(set.witness(), new Shelf(until, set.sealedAtMillis(), all));
    size += all.size();
    return true;
  }

  private void forgetOld() {
    long now = clock.millis();
    Iterator<Shelf> each = shelves.values().iterator();
    while (each.hasNext()) {
      Shelf shelf = each.next();
      if (shelf.keptUntilMillis() < now) {
        each.remove();
        size -= shelf.all().size();
      }
    }
  }

  /** Keeps the outcome of a call whose witness had stopped before the owner reported it. */
  public synchronized void outcome(CallDraft draft, CallOutcome outcome) {
    forgetOld();
    Shelf shelf = shelves.get(draft.id().witness());
    SealedRecord found = shelf == null ? null : shelf.all().get(draft.id());
    if (found == null || found.outcome().state() != CallState.UNKNOWN) {
      return;
    }
    if (found.draft().sameCall(draft)) {
      shelf.all().put(draft.id(), new SealedRecord(draft, outcome));
    }
  }

  /** Answers in place of the stopped witness that the id names. */
  public synchronized CallOutcome resolve(CallDraft draft) {
    forgetOld();
    Shelf shelf = shelves.get(draft.id().witness());
    if (shelf == null) {
      return CallOutcome.notHeld();
    }
    SealedRecord found = shelf.all().get(draft.id());
    if (found != null) {
      return found.draft().sameCall(draft) ? found.outcome() : CallOutcome.otherRequest();
    }
    boolean mayBeForgotten = draft.expiresAtMillis() <= shelf.sealedAtMillis();
    return mayBeForgotten ? CallOutcome.unknown() : CallOutcome.notRun();
  }

  /** Tells how a call stood when its witness stopped. */
  public synchronized CallOutcome peek(RequestId id, String account) {
    forgetOld();
    Shelf shelf = shelves.get(id.witness());
    SealedRecord found = shelf == null ? null : shelf.all().get(id);
    if (found == null) {
      return CallOutcome.notHeld();
    }
    return found.draft().account().equals(account) ? found.outcome() : CallOutcome.otherRequest();
  }

  /** Returns all sets, to hand them on when this daemon stops as well. */
  public synchronized List<SealedSet> all() {
    forgetOld();
    List<SealedSet> sets = new ArrayList<>();
    shelves.forEach(
        (witness, shelf) ->
            sets.add(
                new SealedSet(witness, shelf.sealedAtMillis(), List.copyOf(shelf.all().values()))));
    return sets;
  }
}
