package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * The records for which this incarnation of a daemon is the witness.
 *
 * <p>Invariants: an id that was answered {@code NOT_RUN} here without word from its owner is never
 * acknowledged afterwards; an id that was acknowledged is answered {@code NOT_RUN} only after its
 * owner said so. Safe for use by any thread; all methods are short and hold one lock.
 */
public final class WitnessTable {
  private final DaemonRef self;
  private final RecordMap records;
  private boolean sealed;

  private WitnessTable(DaemonRef self, InstantSource clock, RecordLimits limits) {
    this.self = self;
    this.records = new RecordMap(clock, limits);
  }

  /** Creates the empty table of a daemon that just started. */
  public static WitnessTable create(DaemonRef self, InstantSource clock, RecordLimits limits) {
    return new WitnessTable(self, clock, limits);
  }

  /**
   * Records that the owner is about to dispatch. {@code ADMITTED} is the acknowledgement; it may be
   * given again for a repeated message, since the owner uses it once.
   */
  public synchronized Admittance dispatching(CallDraft draft) {
    records.advance();
    if (!draft.id().witness().equals(self)) {
      return Admittance.NOT_KEEPER;
    }
    CallEntry entry = records.get(draft.id());
    if (entry != null) {
      return entry.ended() || !entry.draft().sameCall(draft)
          ? Admittance.CLOSED
          : Admittance.ADMITTED;
    }
    if (sealed) {
      return Admittance.SEALED;
    }
    if (records.expired(draft)) {
      return Admittance.EXPIRED;
    }
    if (records.full()) {
      return Admittance.FULL;
    }
    records.put(draft, new CallEntry(draft));
    return Admittance.ADMITTED;
  }

  /** Keeps the outcome that the owner reports; an outcome other than unknown is never replaced. */
  public synchronized void outcome(CallDraft draft, CallOutcome outcome) {
    records.advance();
    if (!draft.id().witness().equals(self)) {
      return;
    }
    CallEntry entry = records.get(draft.id());
    if (entry == null) {
      keepNew(draft, outcome);
      return;
    }
    boolean open = !entry.ended() || entry.outcome().state() == CallState.UNKNOWN;
    if (open && entry.draft().sameCall(draft)) {
      records.end(entry, outcome);
    }
  }

  private void keepNew(CallDraft draft, CallOutcome outcome) {
    if (sealed || records.expired(draft) || records.full()) {
      return;
    }
    CallEntry entry = new CallEntry(draft);
    records.put(draft, entry);
    records.end(entry, outcome);
  }

  /**
   * Answers for an owner that is lost. An id that was not acknowledged is closed first, so that
   * {@code NOT_RUN} stays true; one that was acknowledged and has no outcome is {@code UNKNOWN}.
   */
  public synchronized CallOutcome close(CallDraft draft) {
    records.advance();
    if (!draft.id().witness().equals(self)) {
      return CallOutcome.notHeld();
    }
    CallEntry entry = records.get(draft.id());
    if (entry != null) {
      return answer(entry, draft);
    }
    if (records.expired(draft) || records.full()) {
      return CallOutcome.unknown();
    }
    CallEntry closed = new CallEntry(draft);
    records.put(draft, closed);
    closed.end(CallOutcome.notRun());
    return CallOutcome.notRun();
  }

  private static CallOutcome answer(CallEntry entry, CallDraft draft) {
    if (!entry.draft().sameCall(draft)) {
      return CallOutcome.otherRequest();
    }
    return entry.ended() ? entry.outcome() : CallOutcome.unknown();
  }

  /** Tells how a call stands without closing it; unknown once it was acknowledged. */
  public synchronized CallOutcome peek(RequestId id, String account) {
    records.advance();
    CallEntry entry = records.get(id);
    if (entry == null) {
      return CallOutcome.notHeld();
    }
    if (!entry.draft().account().equals(account)) {
      return CallOutcome.otherRequest();
    }
    return entry.ended() ? entry.outcome() : CallOutcome.unknown();
  }

  /** Acknowledges no new call from now on; outcomes of those acknowledged are still taken. */
  public synchronized void seal() {
    sealed = true;
  }

  /** Returns how many acknowledged calls have no outcome yet. */
  public synchronized int pending() {
    int count = 0;
    for (CallEntry entry : records.entries()) {
      count += entry.ended() ? 0 : 1;
    }
    return count;
  }

  /**
   * Returns all records of a sealed table. Since nothing can be acknowledged any more, an id
   * missing from the set never runs unless it had expired before.
   *
   * @throws IllegalStateException if the table is not sealed
   */
  public synchronized SealedSet snapshot() {
    if (!sealed) {
      throw new IllegalStateException("only a sealed table can be handed over");
    }
    records.advance();
    List<SealedRecord> all = new ArrayList<>();
    for (CallEntry entry : records.entries()) {
      CallOutcome known = entry.ended() ? entry.outcome() : CallOutcome.unknown();
      all.add(new SealedRecord(entry.draft(), known));
    }
    return new SealedSet(self, records.nowMillis(), all);
  }

  /** Returns how full the table is. */
  public synchronized RecordCounts counts() {
    return records.counts();
  }
}
