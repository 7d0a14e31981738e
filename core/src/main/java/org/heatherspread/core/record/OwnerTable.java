package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * The records of the calls that this incarnation of a daemon owns: only it may dispatch them, each
 * once.
 *
 * <p>Life of a call: {@link #begin} admits it, the daemon asks the witness, {@link #mayDispatch}
 * turns the witness's acknowledgement into the right to dispatch, {@link #finish} ends it. Ending
 * it before {@code mayDispatch} closes it: a later acknowledgement gives no right any more.
 *
 * <p>Invariants: {@code mayDispatch} returns true at most once for an id; never after any keeper
 * was told {@code NOT_RUN} from here. Safe for use by any thread; all methods are short and hold
 * one lock.
 */
public final class OwnerTable {
  private final DaemonRef self;
  private final RecordMap records;
  private boolean sealed;

  private OwnerTable(DaemonRef self, InstantSource clock, RecordLimits limits) {
    this.self = self;
    this.records = new RecordMap(clock, limits);
  }

  /** Creates the empty table of a daemon that just started. */
  public static OwnerTable create(DaemonRef self, InstantSource clock, RecordLimits limits) {
    return new OwnerTable(self, clock, limits);
  }

  /** Admits a call; {@code KNOWN} if its id was begun or closed before. */
  public synchronized Admittance begin(CallDraft draft) {
    records.advance();
    if (!draft.id().owner().equals(self)) {
      return Admittance.NOT_KEEPER;
    }
    if (records.get(draft.id()) != null) {
      return Admittance.KNOWN;
    }
    Admittance refusal = refusal(draft);
    if (refusal != Admittance.ADMITTED) {
      return refusal;
    }
    records.put(draft, new CallEntry(draft));
    return Admittance.ADMITTED;
  }

  private Admittance refusal(CallDraft draft) {
    if (sealed) {
      return Admittance.SEALED;
    }
    if (records.expired(draft)) {
      return Admittance.EXPIRED;
    }
    return records.full() ? Admittance.FULL : Admittance.ADMITTED;
  }

  /**
   * Takes the witness's acknowledgement.
   *
   * @return whether the caller of this method, and nobody else, may dispatch the call now
   */
  public synchronized boolean mayDispatch(RequestId id) {
    CallEntry entry = records.get(id);
    if (entry == null || entry.ended() || entry.dispatched()) {
      return false;
    }
    entry.markDispatched();
    return true;
  }

  /**
   * Closes a call that has not been dispatched, since its witness refused or was not reached.
   *
   * @return whether it is closed now and never runs; false if it was dispatched or had ended
   */
  public synchronized boolean closeBeforeDispatch(RequestId id) {
    CallEntry entry = records.get(id);
    if (entry == null || entry.ended() || entry.dispatched()) {
      return false;
    }
    entry.end(CallOutcome.notRun());
    return true;
  }

  /**
   * Ends a call. {@code NOT_RUN} after dispatch is for an endpoint's explicit refusal and for a
   * connection that was never opened.
   *
   * @return whether this ended it; false if it had ended before
   */
  public synchronized boolean finish(RequestId id, CallOutcome outcome) {
    CallEntry entry = records.get(id);
    if (entry == null || entry.ended()) {
      return false;
    }
    records.end(entry, outcome);
    return true;
  }

  /**
   * Answers another daemon, or a caller that sends the call again. An id that never came here is
   * closed, so that {@code NOT_RUN} stays true.
   */
  public synchronized CallOutcome resolve(CallDraft draft) {
    records.advance();
    if (!draft.id().owner().equals(self)) {
      return CallOutcome.notHeld();
    }
    CallEntry entry = records.get(draft.id());
    if (entry != null) {
      return entry.draft().sameCall(draft) ? entry.outcome() : CallOutcome.otherRequest();
    }
    if (records.expired(draft) || records.full()) {
      return CallOutcome.unknown();
    }
    CallEntry closed = new CallEntry(draft);
    records.put(draft, closed);
    closed.end(CallOutcome.notRun());
    return CallOutcome.notRun();
  }

  /** Tells how a call stands without closing it. */
  public synchronized CallOutcome peek(RequestId id, String account) {
    records.advance();
    CallEntry entry = records.get(id);
    if (entry == null) {
      return CallOutcome.notHeld();
    }
    return entry.draft().account().equals(account) ? entry.outcome() : CallOutcome.otherRequest();
  }

  /** Admits no more calls; those begun go on. */
  public synchronized void seal() {
    sealed = true;
  }

  /** Returns the ids of calls that have not ended. */
  public synchronized List<RequestId> inProgress() {
    List<RequestId> ids = new ArrayList<>();
    for (CallEntry entry : records.entries()) {
      if (!entry.ended()) {
        ids.add(entry.draft().id());
      }
    }
    return ids;
  }

  /** Returns how full the table is. */
  public synchronized RecordCounts counts() {
    return records.counts();
  }
}
