package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * The records of the calls that this incarnation of a daemon owns: only it may dispatch them, each
 * once.
 *
 * <p>Life of a call: {@link #begin} admits it, the daemon asks the witness, {@link
 * #tryAcquireDispatch} turns the witness's acknowledgement into the right to dispatch, {@link
 * #finish} ends it. Ending it before {@code tryAcquireDispatch} closes it: a later acknowledgement
 * gives no right any more.
 *
 * <p>Invariants: {@code tryAcquireDispatch} returns true at most once for an id; never after any
 * keeper was told {@code NOT_RUN} from here. Safe for use by any thread; all methods are short and
 * hold one lock.
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
  public synchronized AdmissionResult begin(CallDescriptor call) {
    records.advanceTime();
    if (!call.id().owner().equals(self)) {
      return AdmissionResult.NOT_KEEPER;
    }
    if (records.get(call.id()) != null) {
      return AdmissionResult.KNOWN;
    }
    AdmissionResult result = checkAdmission(call);
    if (result != AdmissionResult.ADMITTED) {
      return result;
    }
    records.put(call, new CallRecord(call));
    return AdmissionResult.ADMITTED;
  }

  private AdmissionResult checkAdmission(CallDescriptor call) {
    if (sealed) {
      return AdmissionResult.SEALED;
    }
    if (records.isExpired(call)) {
      return AdmissionResult.EXPIRED;
    }
    return records.isFull() ? AdmissionResult.FULL : AdmissionResult.ADMITTED;
  }

  /**
   * Takes the witness's acknowledgement.
   *
   * @return whether the caller of this method, and nobody else, may dispatch the call now
   */
  public synchronized boolean tryAcquireDispatch(RequestId id) {
    CallRecord callRecord = records.get(id);
    if (callRecord == null || callRecord.isEnded() || callRecord.isDispatched()) {
      return false;
    }
    callRecord.markDispatched();
    return true;
  }

  /**
   * Closes a call that has not been dispatched, since its witness refused or was not reached.
   *
   * @return whether it is closed now and never runs; false if it was dispatched or had ended
   */
  public synchronized boolean closeBeforeDispatch(RequestId id) {
    CallRecord callRecord = records.get(id);
    if (callRecord == null || callRecord.isEnded() || callRecord.isDispatched()) {
      return false;
    }
    callRecord.end(CallOutcome.notRun());
    return true;
  }

  /**
   * Ends a call. {@code NOT_RUN} after dispatch is for an endpoint's explicit refusal and for a
   * connection that was never opened.
   *
   * @return whether this ended it; false if it had ended before
   */
  public synchronized boolean finish(RequestId id, CallOutcome outcome) {
    CallRecord callRecord = records.get(id);
    if (callRecord == null || callRecord.isEnded()) {
      return false;
    }
    records.end(callRecord, outcome);
    return true;
  }

  /**
   * Answers another daemon, or a caller that sends the call again. An id that never came here is
   * closed, so that {@code NOT_RUN} stays true.
   */
  public synchronized CallOutcome resolve(CallDescriptor call) {
    records.advanceTime();
    if (!call.id().owner().equals(self)) {
      return CallOutcome.notHeld();
    }
    CallRecord callRecord = records.get(call.id());
    if (callRecord != null) {
      return callRecord.call().sameCall(call) ? callRecord.outcome() : CallOutcome.otherRequest();
    }
    if (records.isExpired(call) || records.isFull()) {
      return CallOutcome.unknown();
    }
    CallRecord closed = new CallRecord(call);
    records.put(call, closed);
    closed.end(CallOutcome.notRun());
    return CallOutcome.notRun();
  }

  /** Tells how a call stands without closing it. */
  public synchronized CallOutcome peek(RequestId id, String account) {
    records.advanceTime();
    CallRecord callRecord = records.get(id);
    if (callRecord == null) {
      return CallOutcome.notHeld();
    }
    return callRecord.call().account().equals(account)
        ? callRecord.outcome()
        : CallOutcome.otherRequest();
  }

  /** Admits no more calls; those begun go on. */
  public synchronized void seal() {
    sealed = true;
  }

  /** Returns the ids of calls that have not ended. */
  public synchronized List<RequestId> inProgress() {
    List<RequestId> ids = new ArrayList<>();
    for (CallRecord callRecord : records.values()) {
      if (!callRecord.isEnded()) {
        ids.add(callRecord.call().id());
      }
    }
    return ids;
  }

  /** Returns how full the table is. */
  public synchronized RecordCounts counts() {
    return records.counts();
  }
}
