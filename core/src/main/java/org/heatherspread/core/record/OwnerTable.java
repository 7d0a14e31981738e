package org.heatherspread.core.record;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/**
 * Records of the calls that this incarnation of a daemon owns. Only the owner may dispatch a call,
 * and at most once.
 *
 * <p>Lifecycle of a call: {@link #begin} admits it, the daemon asks the witness for an
 * acknowledgement, {@link #tryAcquireDispatch} grants the right to dispatch after the
 * acknowledgement, {@link #finish} ends the call. Ending a call before {@code tryAcquireDispatch}
 * closes it: a later acknowledgement grants nothing.
 *
 * <p>Invariants: {@code tryAcquireDispatch} returns true at most once for an id, and never after
 * this table has reported {@code NOT_RUN} for it. Thread-safe; all methods are short and hold one
 * lock.
 */
public final class OwnerTable {
  private final DaemonRef self;
  private final RecordMap records;
  private boolean sealed;

  private OwnerTable(DaemonRef self, InstantSource clock, RecordLimits limits) {
    this.self = self;
    this.records = new RecordMap(clock, limits);
  }

  /** Creates the empty table of a newly started daemon. */
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
   * Acquires the right to dispatch a call after the witness's acknowledgement.
   *
   * @return whether the caller of this method may dispatch the call; true at most once for an id
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
   * Closes a call that was not dispatched because its witness refused or could not be reached.
   *
   * @return whether the call is closed and never runs; false if it was dispatched or had ended
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
   * Ends a call. {@code NOT_RUN} after dispatch is allowed only for an explicit refusal by the
   * endpoint and for a connection that was never opened.
   *
   * @return whether the call was ended; false if it had ended before
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
   * Returns the outcome of a call to another daemon, or to a caller that repeats the call. An
   * unknown id is closed first, so that {@code NOT_RUN} stays true.
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

  /** Returns the outcome of a call without closing an unknown id. */
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

  /** Stops admitting calls; calls that have begun continue. */
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

  /** Returns the current counts. */
  public synchronized RecordCounts counts() {
    return records.counts();
  }
}
